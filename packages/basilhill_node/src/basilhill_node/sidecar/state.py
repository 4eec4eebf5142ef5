"""State of a sidecar node, divided by the module that writes it; it is not persistent."""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from random import Random
from typing import Any

from attrs import define, field, frozen
from basilhill.backends import BackendDirectory
from basilhill.balancing import CrossingCost, LoadTable
from basilhill.clocks import Clock
from basilhill.configuration import Configuration, RequestLimits
from basilhill.credits import CreditAccount, CreditShare, KeeperDirectory, QuotaBounds
from basilhill.fair_shares import UtilisationSample
from basilhill.levels import HIGHEST_LEVEL, RankAdmissionLevel, RouteLevels
from basilhill.outcomes import Refusal
from basilhill.poison_requests import PoisonRequestTable
from basilhill.response_times import ResponseTimes
from basilhill.retry_quota import RetryQuota
from basilhill.slots import ConcurrencyLimiter

from basilhill_node.metrics import Metrics
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.http_client import ConnectionPool
from basilhill_node.sidecar.memory import DEFAULT_MEMORY_MB, MessageMemory
from basilhill_node.sidecar.positions import StorePosition

# Slots assumed for the local backend server until its entry is read; servers have 13 or more.
INITIAL_SLOTS = 10
POISON_REQUEST_TTL_MS = 60_000
# Descriptors of a process whose platform states no limit, and those that are not for sockets.
DEFAULT_DESCRIPTORS = 4_096
RESERVED_DESCRIPTORS = 200
# A connection takes some 20 KB before it carries anything, so that all take a tenth of the memory.
CONNECTIONS_PER_MB = 5
# Source of state that this node has read from the store itself.
STORE = "store"


@define
class SidecarSettings:
    """Settings of one sidecar node, written by `reload_settings` only.

    Values whose names end in _ms are in milliseconds.
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
    # Bounds for the requests of workspaces beyond their quotas.
    quota_bounds: QuotaBounds = field(factory=QuotaBounds)
    crossing_cost: CrossingCost = field(factory=CrossingCost)
    # Memory that the process may take, in MB.
    memory_mb: int = DEFAULT_MEMORY_MB
    # Open descriptors that the process may have, of which the platform reserves some for files.
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def client_connections(self) -> int:
        """Return how many connections of clients may be open at the same time."""
        sockets = max(0, self.descriptors - RESERVED_DESCRIPTORS)
        return max(1, min(sockets // 2, self.memory_mb * CONNECTIONS_PER_MB))


@define(eq=False)
class ActiveConfiguration:
    """Configuration that this node serves requests with; written by `apply_updates`."""

    configuration: Configuration | None = None
    raw: bytes = b""
    applied_ms: int = 0
    source: str = ""

    @property
    def version(self) -> int:
        """Return the active version, 0 without a configuration."""
        return self.configuration.version if self.configuration else 0

    @property
    def limits(self) -> RequestLimits:
        """Return the limits for requests of clients, the defaults without a configuration."""
        return self.configuration.limits if self.configuration else RequestLimits()


class FollowStage(Enum):
    """What a node does to learn the changes of the store."""

    STARTING = "starting"
    READING = "reading all items"
    WATCHING = "watching the store"
    ASKING = "asking for a feed"
    FOLLOWING = "following a feed"
    WAITING = "waiting for the store"


@define(eq=False)
class StoreView:
    """State of the connection to the store; written by `follow_store` and `follow_feed`.

    `position` is that up to which all changes are applied; written by `publish_feed`.

    The store is also reachable if another node reports its changes.
    """

    reachable: bool = False
    # Source of the changes: `STORE`, the node whose feed this node follows, or empty.
    source: str = ""
    # Number of nodes that follow the feed of this node; written by `publish_feed`.
    followers: int = 0
    unreachable_since_ms: int = 0
    # Whether the store did not respond to this node itself, which may still follow a feed.
    access_lost: bool = False
    # Time at which the store certainly did not respond yet, after an outage.
    failed_ms: int = 0
    last_contact_ms: int = 0
    # Latest time before which each change that the store acknowledged is known to be applied here.
    verified_ms: int = 0
    position: StorePosition = StorePosition()
    # Time until which entries that a copy of the store lacks are retained.
    settling_until_ms: int = 0
    stage: FollowStage = FollowStage.STARTING
    # Ids of removed servers of this VM. The store responded to this node after their removal, so
    # that their entries did not expire because the VM had lost the store.
    left_ids: frozenset[str] = frozenset()
    # Called when the store becomes unreachable or reachable.
    changed: Callable[[], None] = field(default=lambda: None)

    @property
    def has_access(self) -> bool:
        """Return whether the VM reaches the store, so that its server can keep its entry."""
        return self.reachable and not self.access_lost

    @property
    def revision(self) -> int:
        """Return the revision of the position, which orders changes within its era only."""
        return self.position.revision


@define(eq=False)
class OriginState:
    """State of this node as the origin of requests; written by `serve_request`."""

    loads: LoadTable
    levels: RouteLevels = field(factory=lambda: RouteLevels(HIGHEST_LEVEL))
    splits: dict[str, int] = field(factory=dict)
    split_offset: float = 0.0
    quotas: dict[str, RetryQuota] = field(factory=dict)
    # Utilisations of the workspaces that send requests, by rank.
    utilisations: dict[int, UtilisationSample] = field(factory=dict)
    open_requests: int = 0
    # Timeouts of the requests that wait for servers. A node that must stop expires them, so that
    # the clients still get a response.
    timeouts: set[asyncio.Timeout] = field(factory=set)
    random: Random = field(factory=Random)


@define(eq=False)
class CreditState:
    """Credit of the workspaces that this node sees.

    `shares` by workspace and number are those this node keeps, written by `keep_credits`; accounts
    by workspace are those of this node as an origin, written by `borrow_credits`.
    """

    keepers: KeeperDirectory = field(factory=KeeperDirectory)
    # Data centres and addresses of the listed servers by id, from which the keepers follow.
    places: dict[str, tuple[str, str]] = field(factory=dict)
    shares: dict[tuple[str, int], CreditShare] = field(factory=dict)
    accounts: dict[str, CreditAccount] = field(factory=dict)
    # Times until which keepers that gave no response are not asked.
    silent_until_ms: dict[str, int] = field(factory=dict)


@frozen
class RunningCall:
    """Attributes of a running request that the calls it makes inherit."""

    route: str
    rank: int
    depth: int
    repeated: bool
    # Admitted share of the customer requests of this rank on this route, at the time of admission.
    share: float


@frozen(eq=False)
class WaitingCall:
    """Call that waits for a slot; the result is None once it has one, else its refusal."""

    server_id: str
    result: asyncio.Future[Refusal | None]


@define(eq=False)
class ExecutorState:
    """State of this node as executor of calls; written by `execute_call`."""

    pool: ConnectionPool
    slots: ConcurrencyLimiter = field(
        factory=lambda: ConcurrencyLimiter(INITIAL_SLOTS, heard=False)
    )
    level: RankAdmissionLevel = field(
        factory=lambda: RankAdmissionLevel(HIGHEST_LEVEL, HIGHEST_LEVEL)
    )
    times: ResponseTimes = field(factory=ResponseTimes)
    running: dict[str, RunningCall] = field(factory=dict)
    # Calls that wait for a slot, by the sequence number of their slot request.
    waiting_calls: dict[int, WaitingCall] = field(factory=dict)
    # Server ids that the local backend server has rejected as not its own. Calls to these ids are
    # refused without contacting the server.
    misdirected_ids: set[str] = field(factory=set)
    poison_requests: PoisonRequestTable = field(
        factory=lambda: PoisonRequestTable(POISON_REQUEST_TTL_MS)
    )


@define(eq=False)
class NodeLifecycle:
    """Lifecycle and background tasks of the node; written by `node`."""

    leaving: bool = False
    # Set once clients have had time to stop sending requests to a node that is leaving.
    closing: bool = False
    started_ms: int = 0
    tasks: set[asyncio.Task] = field(factory=set)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


@define(eq=False)
class SidecarState:
    """All state of a node."""

    settings: SidecarSettings
    clock: Clock
    log: EventLog
    active_configuration: ActiveConfiguration
    store: StoreView
    directory: BackendDirectory
    origin: OriginState
    executor: ExecutorState
    lifecycle: NodeLifecycle
    memory: MessageMemory
    credits: CreditState = field(factory=CreditState)
    metrics: Metrics = field(factory=Metrics)
