"""Records of clients, backend servers and faults in a soak."""

from attrs import define, field, frozen


@define(eq=False)
class Attempt:
    """Client attempt and its result; `status` 0 means that no response arrived."""

    attempt_id: str
    vm: int
    method: str
    path: str
    body: bytes = field(repr=False)
    idempotent: bool
    sent_ms: int
    ended_ms: int = 0
    status: int = 0
    answer: bytes = field(default=b"", repr=False)
    signature: str = ""
    # Server that states in the response that it leaves, empty without the statement.
    leaving_server: str = ""
    # API key that the client sent, empty without one.
    key: str = ""


@frozen
class Run:
    """Run of a request at a backend server."""

    attempt_id: str
    server_id: str
    service: str
    path: str
    body: bytes = field(repr=False)
    started_ms: int
    # Workspace that the server was told, and all headers that it saw.
    workspace: str = ""
    headers: str = field(default="", repr=False)


@frozen
class Arrival:
    """Request that reached the server that it was addressed to, whether it ran or not."""

    attempt_id: str
    server_id: str
    vm: int
    at_ms: int


@define(eq=False)
class Disruption:
    """Fault or planned work; `ended_ms` is None while it lasts."""

    kind: str
    target: str
    planned: bool
    started_ms: int
    ended_ms: int | None = None
    vm: int | None = None


@frozen
class AcknowledgedChange:
    """Change that the store accepted: a server that leaves."""

    kind: str
    name: str
    at_ms: int


@frozen
class Restart:
    """Start of a server under the id that it had before."""

    server_id: str
    at_ms: int


@frozen
class Version:
    """Configuration that the store accepted, with the service of each path prefix."""

    number: int
    services: dict[str, str]
    at_ms: int
    # Workspaces by API key, and quotas by workspace: requests per second and burst.
    keys: dict[str, str] = field(factory=dict)
    quotas: dict[str, tuple[float, float]] = field(factory=dict)


@define(eq=False)
class SoakHistory:
    """Attempts, runs, arrivals, disruptions, accepted changes and versions of a soak."""

    attempts: list[Attempt] = field(factory=list)
    runs: list[Run] = field(factory=list)
    arrivals: list[Arrival] = field(factory=list)
    disruptions: list[Disruption] = field(factory=list)
    acknowledged_changes: list[AcknowledgedChange] = field(factory=list)
    restarts: list[Restart] = field(factory=list)
    # Accepted configurations in order.
    versions: list[Version] = field(factory=list)
    recovered_ms: int | None = None
