"""Requests between their arrival at the origin and the response."""

from attrs import define, field, frozen
from basilhill.configuration import Route
from basilhill.outcomes import Answer, Refusal
from basilhill.workspaces import Workspace

from basilhill_node.sidecar.dialect import CallerIdentity, RequestMetadata
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.messages import HttpRequest


@frozen
class RoutingBasis:
    """Configuration by which a request was routed, as known when it arrived.

    `verified_age_ms` is the age of the last proof that it was the newest one.
    """

    version: int
    version_age_ms: int
    verified_age_ms: int


@define(eq=False)
class OpenRequest:
    """Request from its arrival at the origin until the response."""

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
    # Admitted share of the demand of its rank, and the probability that this request is admitted.
    share: float
    chance: float = 1.0
    identity: CallerIdentity = field(factory=CallerIdentity)
    workspace: Workspace | None = None
    # Ids of the servers: those the request was sent to, those it reached, and those that refused
    # it after it reached them.
    tried: set[str] = field(factory=set)
    reached: set[str] = field(factory=set)
    refused_by: set[str] = field(factory=set)
    # Number of arrivals at backend servers, and of refusals by executors before arrival: for lack
    # of a slot or another cause than a stale entry, and because the server is too slow.
    sends: int = 0
    refused: int = 0
    slow: int = 0
    # Why the last call left the data centre, empty if it did not.
    crossing: str = ""
    # Call that is in progress at a server, None before the first one.
    call: Execute | None = None
    uncertain: Refusal | None = None
    failed: Answer | None = None

    def may_reach_another(self) -> bool:
        """Return whether the route allows an attempt at one more server."""
        return len(self.reached) < self.route.attempts

    def may_have_run(self) -> bool:
        """Return whether the request may have run at a server until now."""
        if self.uncertain is not None or self.failed is not None:
            return True
        return self.call is not None and self.call.dispatched

    def has_further_server(self) -> bool:
        """Return whether a further server is allowed or one that refused can be tried again."""
        return self.may_reach_another() or bool(self.refused_by)
