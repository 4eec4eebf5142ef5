"""HTTP messages of clients, backend servers and the store."""

from collections.abc import Sequence
from functools import lru_cache

from attrs import define, field
from basilhill.memory import SMALL_MESSAGE_BYTES
from basilhill.outcomes import Header

# Headers of one hop that are not forwarded (RFC 9110, section 7.6.1), and the length, which is set
# again for each message. Headers named by the `Connection` header are not forwarded either.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
REASON_PHRASES = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
BODILESS_STATUSES = frozenset((204, 304))


# Headers that may be remembered because messages repeat them. Longer ones are rare, and a table of
# them would take what their sender decides.
REPEATED_HEADER_BYTES = 256


def parsed_header(name: bytes, value: bytes) -> Header:
    """Return a header from the bytes of a parser, with the name in lower case."""
    if len(name) + len(value) > REPEATED_HEADER_BYTES:
        return decoded_header(name, value)
    return repeated_header(name, value)


def decoded_header(name: bytes, value: bytes) -> Header:
    return Header(name.decode("latin-1").lower(), value.decode("latin-1"))


# Clients and servers repeat most headers in each message.
repeated_header = lru_cache(maxsize=2048)(decoded_header)


@define(eq=False)
class HttpRequest:
    """Complete HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: list[Header] = field(factory=list)
    body: bytes | bytearray = b""
    peer_address: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@define(eq=False)
class HttpResponse:
    """Complete HTTP response; header names are in lower case."""

    status: int
    headers: list[Header] = field(factory=list)
    body: bytes | bytearray = b""


def header_value(headers: Sequence[Header], name: str) -> str | None:
    """Return the value of the first header with a lower-case name, None without one."""
    for header in headers:
        if header.name == name:
            return header.value
    return None


def forwarded_headers(headers: list[Header], dropped: frozenset[str]) -> list[Header]:
    """Return the headers to forward: without those of one hop and those in `dropped`."""
    named = header_value(headers, "connection")
    if named:
        dropped = dropped | frozenset(token.strip().lower() for token in named.split(","))
    return [
        header
        for header in headers
        if header.name not in CONNECTION_HEADERS and header.name not in dropped
    ]


def encode_request(request: HttpRequest, host: str | None = None) -> list[bytes]:
    """Return the parts of a request; a body or a POST, PUT or PATCH gets a content length."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if host is not None:
        lines.append(f"host: {host}")
    lines.extend(f"{header.name}: {header.value}" for header in request.headers)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(request.body)}")
    lines.append("\r\n")
    return joined_if_small("\r\n".join(lines).encode("latin-1"), request.body)


def encode_response(
    response: HttpResponse, bodiless: bool = False, close: bool = False
) -> list[bytes]:
    """Return the parts of a response; `bodiless` omits the body but not the content length."""
    status = response.status
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}"]
    lines.extend(f"{header.name}: {header.value}" for header in response.headers)
    if status not in BODILESS_STATUSES:
        lines.append(f"content-length: {len(response.body)}")
    if close:
        lines.append("connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    if bodiless or status in BODILESS_STATUSES:
        return [head]
    return joined_if_small(head, response.body)


def finished_body(buffer: bytearray) -> bytes | bytearray:
    """Return the body in a buffer that is not used again; a large one is not copied."""
    return bytes(buffer) if len(buffer) <= SMALL_MESSAGE_BYTES else buffer


def joined_if_small(head: bytes, body: bytes) -> list[bytes]:
    """Return a message in one part, or in two if a copy of its body would take much memory."""
    return [head + body] if len(body) <= SMALL_MESSAGE_BYTES else [head, body]
