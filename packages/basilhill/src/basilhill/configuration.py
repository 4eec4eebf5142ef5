"""The configuration of routes and services that is in force on a node."""

from attrs import field, frozen


@frozen
class WeightedService:
    """Name a service with its share of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Describe the requests of one host whose paths begin with a prefix.

    Attempts are the servers that one request may reach; priority 0 is the most urgent.
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


@frozen
class RequestLimits:
    """Bound what a client may send and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 64 << 20
    header_ms: int = 10_000
    idle_ms: int = 60_000


@frozen
class Configuration:
    """Hold one version of the routes, with those of each host ordered by longest prefix."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    limits: RequestLimits = field(factory=RequestLimits)
