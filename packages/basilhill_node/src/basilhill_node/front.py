"""HTTP front for callers and for the backend server beside the node."""

from http import HTTPStatus

from basilhill.calls import CallRequest
from basilhill.verdicts import Reason, Refusal, Verdict, verdict_of
from sanic import Request, Sanic
from sanic.response import HTTPResponse

from basilhill_node import headers
from basilhill_node.commands.serve_call import ServedCall, serve_call
from basilhill_node.state import NodeState

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

STATUS_OF_REASON = {
    Reason.TOKEN_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.TOKEN_INVALID: HTTPStatus.BAD_REQUEST,
    Reason.UNKNOWN_CALL: HTTPStatus.NOT_FOUND,
    Reason.CUSTOMER_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
}


def build_front(node: NodeState) -> Sanic:
    """Return the application that serves callers."""
    app = Sanic(f"front-{node.incarnation}", configure_logging=False)
    app.config.REQUEST_MAX_SIZE = node.settings.body_limit
    app.config.ACCESS_LOG = False

    async def handle(request: Request, service: str, path: str) -> HTTPResponse:
        arrival = headers.parse_arrival(request.headers, request.ip)
        if arrival.is_error():
            return refusal_response(arrival.error)
        query = f"?{request.query_string}" if request.query_string else ""
        call = CallRequest(
            service,
            request.method,
            f"/{path}{query}",
            headers.forwarded_headers(request.headers),
            request.body,
        )
        return served_response(await serve_call(node, call, arrival.ok))

    app.add_route(handle, "/<service:str>/<path:path>", methods=METHODS)
    return app


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
    response.headers[headers.VERDICT] = verdict_of(reply.outcome).value
    response.headers[headers.TOKEN] = headers.token_text(served.token)
    response.headers[headers.ACTION] = served.action_id
    response.headers[headers.RETRIES] = str(reply.retries_spent)
    return response


def refusal_response(refusal: Refusal) -> HTTPResponse:
    """Return the response that tells why a call got no answer."""
    response = HTTPResponse(
        f"{refusal.text}\n", refusal_status(refusal), content_type="text/plain; charset=utf-8"
    )
    response.headers[headers.VERDICT] = refusal.verdict.value
    response.headers[headers.REASON] = refusal.reason.value
    if refusal.retry_after_ms:
        response.headers["retry-after"] = str(-(-refusal.retry_after_ms // 1000))
    return response


def refusal_status(refusal: Refusal) -> HTTPStatus:
    """Return the status code of a refusal."""
    default = (
        HTTPStatus.SERVICE_UNAVAILABLE
        if refusal.verdict is Verdict.NOT_RUN
        else HTTPStatus.BAD_GATEWAY
    )
    return STATUS_OF_REASON.get(refusal.reason, default)
