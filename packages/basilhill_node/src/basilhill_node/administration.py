"""Read-only HTTP administration API."""

from hmac import compare_digest
from http import HTTPStatus

from prometheus_client import CONTENT_TYPE_PLAIN_0_0_4
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json, raw, text

from basilhill_node.openapi import OPEN_PATHS, openapi
from basilhill_node.queries.decisions import find_decisions
from basilhill_node.queries.exposition import exposition
from basilhill_node.queries.outcomes import outcomes
from basilhill_node.queries.status import configuration, is_ready, node_status
from basilhill_node.state import NodeState

ADMINISTRATION_CONNECTIONS = 100
REQUEST_TIMEOUT_S = 10
BODY_LIMIT_BYTES = 1_000


def build_administration(node: NodeState) -> Sanic:
    """Return the application of the administration API."""
    app = Sanic(f"administration-{node.incarnation}", configure_logging=False)
    app.config.ACCESS_LOG = False
    app.config.REQUEST_MAX_SIZE = BODY_LIMIT_BYTES
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = REQUEST_TIMEOUT_S
    # Sanic rewrites its protocol class once per process; the client listener has already done so.
    app.config.TOUCHUP = False
    app.on_request(lambda request: authorise(node, request))
    app.exception(Exception)(answer_error)
    add_probes(app, node)
    add_reports(app, node)
    return app


def authorise(node: NodeState, request: Request) -> HTTPResponse | None:
    """Return a response with status 401 unless the request is authorised."""
    token = node.settings.administration_token
    if request.path in OPEN_PATHS or not token:
        return None
    given = request.headers.get("authorization", "").encode(errors="surrogateescape")
    if compare_digest(given, f"Bearer {token}".encode()):
        return None
    return text(
        "a valid bearer token is needed\n",
        status=HTTPStatus.UNAUTHORIZED,
        headers={"www-authenticate": "Bearer"},
    )


async def answer_error(_request: Request, error: Exception) -> HTTPResponse:
    """Return a one-line response to a request that failed."""
    if isinstance(error, SanicException):
        return text(f"{error}\n", status=error.status_code or HTTPStatus.INTERNAL_SERVER_ERROR)
    return text(f"{type(error).__name__}\n", status=HTTPStatus.INTERNAL_SERVER_ERROR)


def add_probes(app: Sanic, node: NodeState) -> None:
    """Add the health paths, which need no token."""

    @app.get("/healthz")
    async def healthz(_request: Request) -> HTTPResponse:
        return text("ok\n")

    @app.get("/readyz")
    async def readyz(_request: Request) -> HTTPResponse:
        if is_ready(node):
            return text("ready\n")
        return text("not ready\n", status=HTTPStatus.SERVICE_UNAVAILABLE)


def add_reports(app: Sanic, node: NodeState) -> None:
    """Add the paths that report on the node."""

    @app.get("/status")
    async def status(_request: Request) -> HTTPResponse:
        return json(node_status(node))

    @app.get("/outcomes")
    async def get_outcomes(request: Request) -> HTTPResponse:
        return json(outcomes(node, request.args.get("service", "")))

    @app.get("/decisions/<action:str>")
    async def decisions(_request: Request, action: str) -> HTTPResponse:
        return json(find_decisions(node, action))

    @app.get("/configuration")
    async def get_configuration(_request: Request) -> HTTPResponse:
        return json(configuration(node))

    @app.get("/metrics")
    async def metrics(_request: Request) -> HTTPResponse:
        return raw(exposition(node), content_type=CONTENT_TYPE_PLAIN_0_0_4)

    @app.get("/openapi.json")
    async def describe(_request: Request) -> HTTPResponse:
        return json(openapi())
