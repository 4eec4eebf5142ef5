"""What a front needs to know of the way in which clients and servers speak."""

from typing import Protocol

from attrs import frozen
from basilhill.verdicts import Answer, Header, Refusal
from expression import Result

from basilhill_node.sidecar.messages import HttpRequest, HttpResponse


@frozen
class RequestMetadata:
    """Hold what a client says about its request besides the request."""

    request_id: str
    deadline_ms: int | None
    host: str
    # The running request within which a backend server makes this one, where its id tells.
    parent_id: str | None = None
    # The customer's request from which the calls below it come.
    action_id: str = ""


@frozen
class ServerMetadata:
    """Hold what a node tells a backend server about a request."""

    request_id: str
    remaining_ms: int
    server_id: str
    caller_service: str


@frozen
class MalformedMetadata:
    """Tell what is wrong with the terms of a request."""

    problem: str


class Dialect(Protocol):
    """Translate between messages and records; decide nothing."""

    def decode_metadata(self, request: HttpRequest) -> RequestMetadata | MalformedMetadata:
        """Return the terms of a client's request, or what is wrong with it."""
        ...

    def client_headers(self, request: HttpRequest) -> list[Header]:
        """Return the headers of a client that a server gets."""
        ...

    def server_headers(self, headers: list[Header], metadata: ServerMetadata) -> list[Header]:
        """Return the headers of a request to a backend server."""
        ...

    def matches_request(self, headers: list[Header], request_id: str) -> bool:
        """Tell whether a response answers the request of an id."""
        ...

    def decode_answer(self, response: HttpResponse) -> Result[Answer, Refusal]:
        """Return the answer of a backend server, or its statement that it did not run."""
        ...

    def encode_answer(self, answer: Answer, request_id: str) -> HttpResponse:
        """Return the response for a client that got an answer."""
        ...

    def encode_refusal(self, refusal: Refusal, request_id: str) -> HttpResponse:
        """Return the response for a client whose request got no answer."""
        ...
