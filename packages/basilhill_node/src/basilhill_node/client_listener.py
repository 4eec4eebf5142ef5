"""Client listener: the HTTP server for callers and for the local backend server."""

import asyncio
from http import HTTPStatus
from typing import Any

from basilhill.calls import CallMetadata, CallRequest
from basilhill.outcomes import (
    CallReply,
    ExecutionStatus,
    Reason,
    Refusal,
    execution_status_of,
    may_have_run,
    not_run,
)
from basilhill.queries.checking import MAX_TIMEOUT_MS, METHODS
from basilhill.queries.documents import find_call
from basilhill.settings import NodeSettings
from expression import Error, Ok, Result
from sanic import Request, Sanic
from sanic.exceptions import BadURL, PayloadTooLarge
from sanic.response import HTTPResponse

from basilhill_node import headers
from basilhill_node.commands.serve_call import ServedCall, serve_call, with_fresh_token
from basilhill_node.request_targets import parse_target
from basilhill_node.state import NodeState

HEADER_LIMIT_BYTES = 8_192
REFUSED_URL = b"/.."
# Connection limit until a document is active.
DEFAULT_CONNECTIONS = 1_000

STATUS_BY_REASON = {
    Reason.TOKEN_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.TOKEN_INVALID: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_CALL: HTTPStatus.NOT_FOUND,
    Reason.CUSTOMER_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
}

REASON_BY_STATUS = {
    HTTPStatus.NOT_FOUND: Reason.UNKNOWN_CALL,
    HTTPStatus.METHOD_NOT_ALLOWED: Reason.UNKNOWN_CALL,
    HTTPStatus.REQUEST_TIMEOUT: Reason.TOO_SLOW,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: Reason.TOO_LARGE,
    HTTPStatus.INTERNAL_SERVER_ERROR: Reason.INTERNAL,
    HTTPStatus.SERVICE_UNAVAILABLE: Reason.OVERLOADED,
}


class LenientRequest(Request):
    """Request that replaces an invalid URL by a path that is refused.

    For its error page, sanic builds a second request from the same URL. An invalid URL raises again
    there, and sanic closes the connection without a response.
    """

    def __init__(self, url_bytes: bytes, *args: Any, **kwargs: Any) -> None:
        try:
            super().__init__(url_bytes, *args, **kwargs)
        except BadURL:
            super().__init__(REFUSED_URL, *args, **kwargs)


def build_client_listener(node: NodeState) -> Sanic:
    """Return the application of the client listener."""
    app = Sanic(f"front-{node.incarnation}", configure_logging=False, request_class=LenientRequest)
    app.config.REQUEST_MAX_HEADER_SIZE = HEADER_LIMIT_BYTES
    app.config.REQUEST_TIMEOUT = node.settings.request_ms / 1000
    # The deadline of the call ends it. Sanic's timeout response has no execution status.
    app.config.RESPONSE_TIMEOUT = (MAX_TIMEOUT_MS + node.settings.request_ms) / 1000
    app.config.ACCESS_LOG = False

    async def handle(request: Request, target: str) -> HTTPResponse:
        refusal = await receive_body(request, node.settings)
        if refusal is not None:
            return refused_response(node, refusal)
        call = parse_call(request)
        metadata = headers.parse_call_metadata(request.headers, request.ip)
        for parsed in (call, metadata):
            if parsed.is_error():
                return refused_response(node, parsed.error)
        unknown = unknown_coordinator_refusal(node, call.ok, metadata.ok)
        if unknown is not None:
            return served_response(with_fresh_token(node, CallReply(Error(unknown))))
        request.ctx.started = True
        return served_response(await serve_call(node, call.ok, metadata.ok))

    async def handle_error(request: Request, error: Exception) -> HTTPResponse:
        return error_response(node, request, error)

    app.add_route(handle, "/<target:path>", methods=METHODS, stream=True)
    app.exception(Exception)(handle_error)
    return app


async def receive_body(request: Request, settings: NodeSettings) -> Refusal | None:
    """Read the body of a request; return a refusal if it is too large or not received in time."""
    if not request.stream.request_body:
        return None
    limit = request.stream.request_max_size = settings.body_limit
    try:
        async with asyncio.timeout(settings.request_ms / 1000):
            await request.receive_body()
        return None
    except TimeoutError:
        refusal = early_refusal(
            Reason.TOO_SLOW, "the body did not arrive in time", headers.TOKEN in request.headers
        )
    except PayloadTooLarge:
        refusal = not_run(Reason.TOO_LARGE, f"the body has more than {limit} bytes")
    # Otherwise sanic waits for the rest of the body before it closes the connection.
    request.stream.request_body = None
    request.stream.keep_alive = False
    return refusal


def early_refusal(reason: Reason, text: str, may_be_repeat: bool) -> Refusal:
    """Return the refusal of a request before its call; other attempts may have run."""
    return may_have_run(reason, text) if may_be_repeat else not_run(reason, text)


def parse_call(request: Request) -> Result[CallRequest, Refusal]:
    """Return the call that a request contains."""
    parsed = parse_target(request.path, request.query_string)
    if parsed.is_error():
        return Error(parsed.error)
    return Ok(
        CallRequest(
            parsed.ok.service,
            request.method,
            parsed.ok.path,
            headers.forwarded_headers(request.headers),
            request.body,
        )
    )


def unknown_coordinator_refusal(
    node: NodeState, call: CallRequest, metadata: CallMetadata
) -> Refusal | None:
    """Return the refusal of a token whose node is not in the fleet.

    Any client can forge such a token, and the node would connect to every address named in one.
    """
    token = metadata.token
    if token is None or token.node == node.settings.node or token.node in node.fleet.vms:
        return None
    policy = find_call(node.document, call.service, call.method, call.path)
    if policy is None or policy.idempotent or metadata.parent is not None:
        return None
    text = f"{token.node[:64]} is not in the fleet"
    if metadata.attempt == 0:
        return not_run(Reason.COORDINATOR_GONE, text)
    return may_have_run(Reason.COORDINATOR_GONE, text)


def refused_response(node: NodeState, refusal: Refusal) -> HTTPResponse:
    """Count a refused request and return the response to it."""
    node.metrics.record_refusal(refusal)
    return refusal_response(refusal)


def error_response(node: NodeState, request: Request, error: Exception) -> HTTPResponse:
    """Return the response to a request that sanic rejected or that raised an exception."""
    status = getattr(error, "status_code", HTTPStatus.INTERNAL_SERVER_ERROR)
    if getattr(request.ctx, "started", False):
        node.log.record("front", "", f"{request.method} {request.path} failed", repr(error))
        return refused_response(
            node, may_have_run(Reason.INTERNAL, "the node failed while the call ran")
        )
    if isinstance(error, PayloadTooLarge):
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    reason = REASON_BY_STATUS.get(status, Reason.MALFORMED)
    if status == HTTPStatus.INTERNAL_SERVER_ERROR:
        node.log.record("front", "", f"{request.method} {request.path} failed", repr(error))
        text = "the node failed before the call ran"
        return refused_response(node, early_refusal(reason, text, headers.TOKEN in request.headers))
    if reason is Reason.TOO_SLOW:
        # The missing part of the header may contain a token.
        text = "the header did not arrive in time"
        return refused_response(node, early_refusal(reason, text, may_be_repeat=True))
    response = refused_response(node, not_run(reason, str(error) or HTTPStatus(status).phrase))
    response.status = status
    return response


def served_response(served: ServedCall) -> HTTPResponse:
    """Return the response to a served call."""
    reply = served.reply
    if reply.outcome.is_ok():
        answer = reply.outcome.ok
        response = HTTPResponse(answer.body, answer.status)
        for header in answer.headers:
            response.headers.add(header.name, header.value)
        response.content_type = response.headers.get("content-type")
    else:
        response = refusal_response(reply.outcome.error)
    response.headers[headers.VERDICT] = execution_status_of(reply.outcome).value
    response.headers[headers.TOKEN] = headers.format_token(served.token)
    response.headers[headers.ACTION] = served.action_id
    response.headers[headers.RETRIES] = str(reply.retries_spent)
    return response


def refusal_response(refusal: Refusal) -> HTTPResponse:
    """Return the response with the execution status and reason of a refusal."""
    # The text may quote the request, which need not be valid UTF-8.
    body = f"{refusal.text}\n".encode("ascii", "backslashreplace")
    response = HTTPResponse(body, refusal_status(refusal), content_type="text/plain; charset=utf-8")
    response.headers[headers.VERDICT] = refusal.execution_status.value
    response.headers[headers.REASON] = refusal.reason.value
    if refusal.retry_after_ms:
        response.headers["retry-after"] = str(-(-refusal.retry_after_ms // 1000))
    return response


def refusal_status(refusal: Refusal) -> HTTPStatus:
    """Return the status code of a refusal."""
    if refusal.execution_status is ExecutionStatus.NOT_RUN:
        return STATUS_BY_REASON.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    # Clients conclude from a status from 400 to 499 that the request had no effect.
    timed_out = refusal.reason is Reason.DEADLINE
    return HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY


def connection_limit(node: NodeState) -> int:
    """Return the connection limit of the client listener."""
    service = node.document.services.get(node.settings.service)
    return service.connections if service is not None else DEFAULT_CONNECTIONS
