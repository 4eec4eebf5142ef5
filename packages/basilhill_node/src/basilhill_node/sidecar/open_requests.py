"""Requests between their arrival at the origin and their answer."""

from attrs import define, field
from basilhill.configuration import Route
from basilhill.verdicts import Answer, Refusal

from basilhill_node.sidecar.dialect import RequestTerms
from basilhill_node.sidecar.messages import HttpRequest


@define(eq=False)
class OpenRequest:
    """Hold one request from its arrival to its answer."""

    request: HttpRequest
    terms: RequestTerms
    route: Route
    service: str
    arrived_ms: int
    deadline_ms: int
    ends_ms: int
    rank: int
    depth: int
    repeated: bool
    patience_ms: int
    share: float
    tried: set[str] = field(factory=set)
    reached: int = 0
    refused: int = 0
    uncertain: Refusal | None = None
    failed: Answer | None = None
