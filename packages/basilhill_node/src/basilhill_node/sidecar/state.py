"""State of a sidecar node, divided by owner; all of it is lost when its process ends."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from attrs import define, field, frozen
from basilhill.backends import BackendDirectory
from basilhill.balancing import LoadTable
from basilhill.clocks import Clock
from basilhill.configuration import Configuration, RequestLimits
from basilhill.levels import HIGHEST_LEVEL, AdmissionLevel, RouteLevels
from basilhill.retry_quota import RetryQuota
from basilhill.slots import SlotGate
from basilhill.suspects import SuspectTable
from basilhill.verdicts import Refusal

from basilhill_node.metrics import Metrics
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.http_client import ConnectionPool

# Slots of the own server until its entry is read; servers have 13 and more.
INITIAL_SLOTS = 10
SUSPECT_TTL_MS = 60_000


@define
class SidecarSettings:
    """Hold the settings of one sidecar node; names ending in _ms are milliseconds.

    Written by `reload_settings` only.
    """

    node: str
    address: str
    data_centre: str
    service: str
    backend_address: str
    client_port: int
    peer_port: int
    ready_port: int
    metrics_port: int
    store_address: str
    grace_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_minimum: int


@define(eq=False)
class ActiveConfiguration:
    """Hold the configuration that this node serves by; written by `apply_configuration`."""

    configuration: Configuration | None = None
    raw: bytes = b""
    applied_ms: int = 0
    source: str = ""

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.configuration.version if self.configuration else 0

    @property
    def limits(self) -> RequestLimits:
        """Return the limits for clients."""
        return self.configuration.limits if self.configuration else RequestLimits()


@define(eq=False)
class StoreView:
    """Hold what is known of the store; written by `follow_store`."""

    reachable: bool = False
    unreachable_since_ms: int = 0
    last_contact_ms: int = 0
    revision: int = 0
    # Called when the store is lost or reached again.
    changed: Callable[[], None] = field(default=lambda: None)


@define(eq=False)
class OriginState:
    """Hold what this node knows as origin of requests; written by `serve_request`."""

    loads: LoadTable
    levels: RouteLevels = field(factory=lambda: RouteLevels(HIGHEST_LEVEL))
    splits: dict[str, int] = field(factory=dict)
    split_offset: float = 0.0
    quotas: dict[str, RetryQuota] = field(factory=dict)
    open_requests: int = 0
    # Ends of the requests that wait for servers, so that a node which must stop can answer them.
    timeouts: set[asyncio.Timeout] = field(factory=set)
    random: Random = field(factory=Random)


@frozen
class RunningCall:
    """Hold what the calls that a running request makes inherit from it."""

    route: str
    rank: int
    depth: int
    repeated: bool
    # The share of the requests like the customer's one that were admitted with it.
    share: float


@define(eq=False)
class ExecutorState:
    """Hold the slots of the own backend server; written by `execute_call`."""

    pool: ConnectionPool
    slots: SlotGate = field(factory=lambda: SlotGate(INITIAL_SLOTS))
    level: AdmissionLevel = field(factory=lambda: AdmissionLevel(HIGHEST_LEVEL, HIGHEST_LEVEL))
    running: dict[str, RunningCall] = field(factory=dict)
    waiters: dict[int, asyncio.Future[Refusal | None]] = field(factory=dict)
    # Ids that the own server has denied; calls to them would only reach it in vain.
    misdirected_ids: set[str] = field(factory=set)
    suspects: SuspectTable = field(factory=lambda: SuspectTable(SUSPECT_TTL_MS))


@define(eq=False)
class NodeLifecycle:
    """Hold the tasks of the node and whether it is leaving; written by `node`."""

    leaving: bool = False
    # Set when clients have had time to turn away from a node that is leaving.
    closing: bool = False
    started_ms: int = 0
    tasks: set[asyncio.Task] = field(factory=set)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


@define(eq=False)
class SidecarState:
    """Hold the parts of a node for the code that wires them."""

    settings: SidecarSettings
    clock: Clock
    log: EventLog
    in_force: ActiveConfiguration
    store: StoreView
    directory: BackendDirectory
    origin: OriginState
    gate: ExecutorState
    life: NodeLifecycle
    metrics: Metrics = field(factory=Metrics)
