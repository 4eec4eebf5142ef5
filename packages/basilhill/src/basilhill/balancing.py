"""Load of the backend servers that a node sends calls to."""

from attrs import define, field, frozen

from basilhill.backends import BackendEntry


@define(eq=False)
class TargetLoad:
    """Load of one backend server: calls in flight of this node, last report and failure rate.

    `failures` counts consecutive calls without a response, which show that the server has
    terminated or cannot be reached.
    """

    server_id: str
    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    reported_ms: int = 0
    refused_until_ms: int = 0
    failure_rate: float = 0.0
    failures: int = 0
    # Response time relative to the usual one of the routes, and the time of the last measurement.
    slowness: float = 1.0
    slowness_ms: int = 0
    ejected_until_ms: int = 0


@frozen
class CrossingCost:
    """Time in ms that a call to another data centre must save: in any case, and for each MB."""

    base_ms: float = 10.0
    ms_per_mb: float = 1_000.0


@frozen
class Choice:
    """Server chosen for a call, and why it leaves the data centre; empty if it does not.

    `saved_ms` is the expected delay at the best local server less that at the chosen one.
    """

    entry: BackendEntry
    crossing: str = ""
    saved_ms: float = 0.0


@define(eq=False)
class ServerPool:
    """Servers of one service in the own data centre or in the others.

    `last` is the server that was chosen last, which the next choice compares as well: after a good
    server is found among many bad ones, it is not lost again.
    """

    entries: list[BackendEntry] = field(factory=list)
    last: BackendEntry | None = None


@define(eq=False)
class Candidates:
    """Servers of one service that may get calls, as of a generation of the directory."""

    generation: int = -1
    local: ServerPool = field(factory=ServerPool)
    remote: ServerPool = field(factory=ServerPool)
    # Lowest failure rate of the servers, and the time at which it was determined.
    lowest_rate: float = 0.0
    rated_ms: int = -1_000


@define(eq=False)
class LoadTable:
    """Loads of backend servers by id, and response times and failure rates by route."""

    data_centre: str
    # Servers that may get calls, by service.
    candidates: dict[str, Candidates] = field(factory=dict)
    # Usual size of a request and its response by route, in bytes.
    usual_bytes: dict[str, float] = field(factory=dict)
    targets: dict[str, TargetLoad] = field(factory=dict)
    # Usual response time by route, in ms.
    usual_ms: dict[str, float] = field(factory=dict)
    # Failure rate across all servers, by route.
    failure_rates: dict[str, float] = field(factory=dict)
