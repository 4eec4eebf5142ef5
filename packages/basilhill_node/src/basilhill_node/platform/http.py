"""Headers and status codes of the platform's HTTP messages."""

import re
from collections.abc import Sequence
from random import Random

from attrs import define, field
from basilhill.outcomes import Answer, ExecutionStatus, Header, Reason, Refusal, not_run
from basilhill.workspaces import Credentials
from expression import Error, Ok, Result

from basilhill_node.platform.input import MAX_NUMBER
from basilhill_node.sidecar.dialect import (
    CallerIdentity,
    MalformedMetadata,
    RequestMetadata,
    ServerMetadata,
    ServerStatement,
)
from basilhill_node.sidecar.messages import (
    HttpRequest,
    HttpResponse,
    forwarded_headers,
    header_value,
)

# Identifies one attempt of a client, not a customer action: each retry of a client has a new id.
REQUEST_ID = "basilhill-attempt-id"
DEADLINE = "basilhill-deadline-ms"
SERVER_ID = "basilhill-target-instance"
NOT_EXECUTED = "basilhill-not-executed"
INSTANCE_ID = "basilhill-instance-id"
CALLER_SERVICE = "basilhill-caller-service"
TENANT = "basilhill-tenant"
AUTHORIZATION = "authorization"
KEY_SCHEME = "token"
WWW_AUTHENTICATE = Header("www-authenticate", "Token")
RETRY_AFTER = "retry-after"
SERVER_LIMIT = "server-limit"
SERVER_LEAVING = "server-leaving"
ID_SEPARATOR = "."
MISDIRECTED = 421
# Headers that the node sets on requests to backend servers; values from clients are dropped.
NODE_HEADERS = frozenset((REQUEST_ID, DEADLINE, SERVER_ID, CALLER_SERVICE, TENANT))
# Where requests need keys, no server gets one, whatever the route and the scheme.
KEYED_HEADERS = NODE_HEADERS | {AUTHORIZATION}
ECHOED_HEADERS = frozenset((REQUEST_ID,))
LONGEST_DEADLINE_MS = 3_600_000
# A decimal number as the usual languages print and read it: 10 / 3 has 16 decimals in Python and
# JavaScript, and 17 significant digits in C; small numbers have exponents in all of them.
DECIMAL_NUMBER = re.compile(r"\+?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,5})?")
# Status of a request that may have run, by reason; the default is 502.
UNCERTAIN_STATUS = {Reason.DEADLINE: 504}
# Status of a request that did not run, by reason; the default is 503.
NOT_RUN_STATUS = {
    Reason.UNKNOWN_CALL: 404,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.UNAUTHENTICATED: 401,
}
# Statuses after which the same request would be refused again.
FINAL_REFUSALS = frozenset((401, 404))


@define
class PlatformDialect:
    """Translator between the platform's HTTP messages and the node's records."""

    random: Random = field(factory=Random)

    def decode_metadata(self, request: HttpRequest) -> RequestMetadata | MalformedMetadata:
        """Return the metadata of a client's request, or why it is malformed."""
        host = (header_value(request.headers, "host") or "").lower()
        host = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        text = header_value(request.headers, DEADLINE)
        try:
            deadline_ms = None if text is None else min(int(float(text)), LONGEST_DEADLINE_MS)
        except (ValueError, OverflowError):
            return MalformedMetadata(f"the deadline {text!r} is no number of milliseconds")
        request_id = header_value(request.headers, REQUEST_ID) or ""
        # The id of a call that a backend server makes begins with the id of the request that it is
        # running. The platform does not document this; a call whose id has another form is served
        # without the rank of its parent.
        parent_id = request_id.rpartition(ID_SEPARATOR)[0] or None
        action_id = request_id.partition(ID_SEPARATOR)[0]
        return RequestMetadata(
            request_id, deadline_ms, host, parent_id, action_id, decode_credentials(request)
        )

    def client_headers(self, request: HttpRequest, identity: CallerIdentity) -> list[Header]:
        """Return the headers of a client's request that are forwarded to a server."""
        if not identity.is_checked:
            return forwarded_headers(request.headers, NODE_HEADERS)
        headers = forwarded_headers(request.headers, KEYED_HEADERS)
        if identity.workspace:
            headers.append(Header(TENANT, identity.workspace))
        return headers

    def server_headers(self, headers: list[Header], metadata: ServerMetadata) -> list[Header]:
        """Return the headers of a request to a backend server."""
        return [
            *headers,
            Header(REQUEST_ID, metadata.request_id),
            Header(DEADLINE, str(max(1, metadata.remaining_ms))),
            Header(SERVER_ID, metadata.server_id),
            Header(CALLER_SERVICE, metadata.caller_service),
        ]

    def matches_request(self, headers: list[Header], request_id: str) -> bool:
        """Return whether a response has the request's id or none."""
        return header_value(headers, REQUEST_ID) in (None, request_id)

    def decode_answer(self, response: HttpResponse) -> Result[Answer, Refusal]:
        """Return the response of a backend server, or a refusal if it did not run the request."""
        if response.status == MISDIRECTED:
            found = header_value(response.headers, INSTANCE_ID) or "another server"
            return Error(not_run(Reason.MISDIRECTED, f"{found} has the address"))
        if header_value(response.headers, NOT_EXECUTED) is not None:
            text = f"the server refused with {response.status}"
            return Error(not_run(Reason.SERVER_REFUSED, text))
        # The origin knows the id that the server echoes, so it is not sent between nodes.
        headers = tuple(forwarded_headers(response.headers, ECHOED_HEADERS))
        return Ok(Answer(response.status, headers, response.body))

    def decode_statement(self, headers: Sequence[Header]) -> ServerStatement:
        """Return what a backend server states about itself in the headers of a response.

        Of several limits the lowest one holds; a malformed one leaves all of them unknown.
        """
        leaving = header_value(headers, SERVER_LEAVING) == "1"
        texts = [
            text.strip()
            for header in headers
            if header.name == SERVER_LIMIT
            for text in header.value.split(",")
        ]
        malformed = [text for text in texts if not DECIMAL_NUMBER.fullmatch(text)]
        if malformed:
            problem = f"the limit {malformed[0][:40]!r} is no decimal number"
            return ServerStatement(None, leaving, problem)
        limits = [min(float(text), MAX_NUMBER) for text in texts]
        return ServerStatement(min(limits, default=None), leaving)

    def encode_answer(self, answer: Answer, request_id: str) -> HttpResponse:
        headers = [Header(REQUEST_ID, request_id), *answer.headers]
        return HttpResponse(answer.status, headers, answer.body)

    def encode_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return the response that reports a refusal to the client."""
        headers = [Header(REQUEST_ID, request_id)] if request_id else []
        if refusal.execution_status is ExecutionStatus.MAY_HAVE_RUN:
            status = UNCERTAIN_STATUS.get(refusal.reason, 502)
        else:
            status = NOT_RUN_STATUS.get(refusal.reason, 503)
            if refusal.reason is Reason.UNAUTHENTICATED:
                headers.append(WWW_AUTHENTICATE)
            if status not in FINAL_REFUSALS and refusal.retry_after_ms:
                headers.append(Header(RETRY_AFTER, f"{refusal.retry_after_ms / 1000:.3f}"))
        return HttpResponse(status, headers, refusal.text.encode())


def decode_credentials(request: HttpRequest) -> Credentials:
    """Return the API key of a request; other schemes than that of keys are ignored."""
    values = [header.value for header in request.headers if header.name == AUTHORIZATION]
    if len(values) > 1:
        return Credentials(problem="the request has more than one Authorization header")
    scheme, _, key = values[0].strip().partition(" ") if values else ("", "", "")
    if scheme.lower() != KEY_SCHEME:
        return Credentials()
    return Credentials(key.strip())
