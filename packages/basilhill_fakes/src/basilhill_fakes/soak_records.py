"""What a soak records of clients, backend servers and faults."""

from attrs import define, field, frozen


@define(eq=False)
class Attempt:
    """Hold one client attempt and its end; `status` 0 stands for a connection without an answer."""

    attempt_id: str
    machine: int
    method: str
    path: str
    body: bytes = field(repr=False)
    idempotent: bool
    sent_ms: int
    ended_ms: int = 0
    status: int = 0
    answer: bytes = field(default=b"", repr=False)
    signature: str = ""


@frozen
class Run:
    """Hold one run of a request at a backend server."""

    attempt_id: str
    server_id: str
    service: str
    path: str
    body: bytes = field(repr=False)
    started_ms: int


@define(eq=False)
class Disruption:
    """Hold one fault or planned work; it lasts until `ended_ms`, None while it goes on."""

    kind: str
    target: str
    planned: bool
    started_ms: int
    ended_ms: int | None = None
    machine: int | None = None


@frozen
class Acknowledged:
    """Hold a change that the store took: a service in force for a path, or a leaving server."""

    kind: str
    name: str
    at_ms: int


@define(eq=False)
class SoakHistory:
    """Hold everything that a soak has seen."""

    attempts: list[Attempt] = field(factory=list)
    runs: list[Run] = field(factory=list)
    disruptions: list[Disruption] = field(factory=list)
    acknowledged: list[Acknowledged] = field(factory=list)
    recovered_ms: int | None = None
