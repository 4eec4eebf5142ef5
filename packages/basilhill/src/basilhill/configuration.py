"""Active configuration of the routes of a node."""

from attrs import field, frozen

from basilhill.workspaces import WorkspaceTable


@frozen
class WeightedService:
    """Service of a route with its weight in the traffic split."""

    service: str
    weight: float


@frozen
class Route:
    """Policy for the requests of one host whose paths begin with a prefix.

    `attempts` bounds the servers that one request is sent to; priority 0 is the most urgent.
    A request of a `public` route needs no API key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    attempts: int
    timeout_ms: int
    target_ms: int
    priority: int
    services: tuple[WeightedService, ...]
    public: bool = False


@frozen
class RequestLimits:
    """Limits of the size, duration and idle time of client requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_ms: int = 10_000
    idle_ms: int = 60_000


@frozen
class Configuration:
    """One version of the routes by host, those with the longest prefix first.

    Without workspaces, requests need no API key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    limits: RequestLimits = field(factory=RequestLimits)
    workspaces: WorkspaceTable | None = None
    # Number of ranks that the priorities of the routes take, from 0 to the greatest one.
    route_ranks: int = field(init=False)

    @route_ranks.default
    def count_route_ranks(self) -> int:
        """Return the number of ranks that the priorities of the routes take."""
        priorities = (route.priority for routes in self.routes.values() for route in routes)
        return 1 + max(priorities, default=0)
