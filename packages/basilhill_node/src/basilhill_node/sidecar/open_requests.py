"""Requests between their arrival at the origin and their answer."""

from attrs import define, field
from basilhill.configuration import Route
from basilhill.verdicts import Answer, Refusal

from basilhill_node.sidecar.dialect import RequestMetadata
from basilhill_node.sidecar.messages import HttpRequest


@define(eq=False)
class OpenRequest:
    """Hold one request from its arrival to its answer."""

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: str
    arrived_ms: int
    deadline_ms: int
    ends_ms: int
    rank: int
    depth: int
    repeated: bool
    wait_limit_ms: int
    share: float
    # Servers that were asked, those that the request reached, and of these those that refused it.
    tried: set[str] = field(factory=set)
    reached: set[str] = field(factory=set)
    refused_by: set[str] = field(factory=set)
    # Times that it reached a server, and refusals of gates before it did.
    sends: int = 0
    refused: int = 0
    uncertain: Refusal | None = None
    failed: Answer | None = None

    def may_reach_another(self) -> bool:
        """Tell whether the route allows one more server."""
        return len(self.reached) < self.route.attempts

    def has_further_server(self) -> bool:
        """Tell whether the route allows one more server, or one that refused may be asked again."""
        return self.may_reach_another() or bool(self.refused_by)
