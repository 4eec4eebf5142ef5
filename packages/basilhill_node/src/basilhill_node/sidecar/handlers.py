"""Handlers of the platform's requests to a node itself."""

from collections.abc import Callable

from basilhill.outcomes import Header

from basilhill_node.sidecar.messages import HttpRequest, HttpResponse
from basilhill_node.sidecar.queries.exposition import exposition
from basilhill_node.sidecar.queries.readiness import is_ready
from basilhill_node.sidecar.state import SidecarState


def readiness_handler(state: SidecarState) -> Callable:
    """Return the handler of the platform's readiness checks, which responds with 200 or 503."""

    async def handle(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if is_ready(state.lifecycle, state.active_configuration) else 503)

    return handle


def metrics_handler(state: SidecarState) -> Callable:

    async def handle(_request: HttpRequest) -> HttpResponse:
        content_type = Header("content-type", "text/plain; version=0.0.4; charset=utf-8")
        return HttpResponse(200, [content_type], exposition(state))

    return handle
