"""Interface for translation between HTTP messages of a platform and records of the node."""

from collections.abc import Sequence
from typing import Protocol

from attrs import field, frozen
from basilhill.outcomes import Answer, Header, Refusal
from basilhill.workspaces import Credentials
from expression import Result

from basilhill_node.sidecar.messages import HttpRequest, HttpResponse


@frozen
class RequestMetadata:
    """Metadata that a client sends with its request."""

    request_id: str
    deadline_ms: int | None
    host: str
    # Id of the running request whose backend server made this one, if the request id contains it.
    parent_id: str | None = None
    # Id of the customer action that this request belongs to.
    action_id: str = ""
    credentials: Credentials = field(factory=Credentials)


@frozen
class CallerIdentity:
    """Workspace of a request, empty without one.

    `is_checked` is whether requests need API keys, so that none may reach a server.
    """

    workspace: str = ""
    is_checked: bool = False


@frozen
class ServerMetadata:
    """Metadata that a node sends to a backend server with a request."""

    request_id: str
    remaining_ms: int
    server_id: str
    caller_service: str


@frozen
class MalformedMetadata:
    """Reason why the metadata of a request cannot be decoded."""

    problem: str


@frozen
class ServerStatement:
    """Statements of a backend server about itself in a response.

    `limit_per_s` is how many requests per second it takes from all nodes, None if it states none.
    `problem` is why a stated limit cannot be decoded.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    problem: str = ""


class Dialect(Protocol):
    """Translator between HTTP messages and records, which makes no decisions."""

    def decode_metadata(self, request: HttpRequest) -> RequestMetadata | MalformedMetadata:
        """Return the metadata of a client's request, or why it is malformed."""
        ...

    def client_headers(self, request: HttpRequest, identity: CallerIdentity) -> list[Header]:
        """Return the headers of a client's request that are forwarded to a server."""
        ...

    def server_headers(self, headers: list[Header], metadata: ServerMetadata) -> list[Header]:
        """Return the headers of a request to a backend server."""
        ...

    def matches_request(self, headers: list[Header], request_id: str) -> bool:
        """Return whether a response belongs to the request with the given id."""
        ...

    def decode_answer(self, response: HttpResponse) -> Result[Answer, Refusal]:
        """Return the response of a backend server, or a refusal if it did not run the request."""
        ...

    def decode_statement(self, headers: Sequence[Header]) -> ServerStatement:
        """Return what a backend server states about itself in the headers of a response."""
        ...

    def encode_answer(self, answer: Answer, request_id: str) -> HttpResponse:
        """Return the response that passes a backend server's response on to the client."""
        ...

    def encode_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return the response that reports a refusal to the client."""
        ...
