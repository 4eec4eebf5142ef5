"""State of one node."""

import asyncio
import secrets
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any, Protocol

from attrs import define, field, frozen
from basilhill.admission import AdmissionState
from basilhill.budgets import CustomerBuckets, RetryBudget
from basilhill.calls import CallContext, CallRequest
from basilhill.clocks import Clock
from basilhill.documents import CallPolicy, Document, RefusedSection, Section
from basilhill.executions import ExecutionTable
from basilhill.fleet import FleetView
from basilhill.loads import RoutingTable
from basilhill.outcomes import CallReply, Refusal
from basilhill.poison_requests import CrashReport, PoisonRequestTable
from basilhill.sections import DigestReport, SectionBatch, SectionTable
from basilhill.settings import NodeSettings
from basilhill.tokens import IdempotencyToken, TokenIssuer
from expression import Result

from basilhill_node.backend_servers import BackendServer
from basilhill_node.logs import DecisionLog
from basilhill_node.metrics import Metrics
from basilhill_node.network import Network

DEFAULT_SLOTS = 10


@frozen
class LostReply:
    """Failure of a call to a peer without a reply.

    `sent` is whether the frame may have been sent, `incarnation` the incarnation it was sent to.
    A refused connection shows that the last known incarnation has ended.
    """

    sent: bool
    incarnation: str = ""
    refused: bool = False


class SectionLink(Protocol):
    """Link to one other node that exchanges sections."""

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; return whether they were queued for sending."""
        ...

    async def send_report(self, report: DigestReport) -> bool:
        """Send section digests; return whether they were queued for sending."""
        ...


class PeerChannel(SectionLink, Protocol):
    """Channel for calls and reports to one other node."""

    def touch(self) -> None:
        """Reset the idle timeout of the stream."""
        ...

    async def send_poison_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Send the peer reports of requests that may crash backend servers."""
        ...

    async def execute(
        self, context: CallContext, key: str | None, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Run a call on the peer's backend server."""
        ...

    async def coordinate(
        self, token: IdempotencyToken, attempt: int, context: CallContext, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Send an attempt of a call to the coordinator of its token."""
        ...

    async def revoke(
        self, key: str, incarnation: str, age_ms: int, timeout_ms: int
    ) -> Result[CallReply, LostReply]:
        """Request an executor to reject a key, or the outcome of the call if it has started."""
        ...

    async def reject(
        self, token: IdempotencyToken, attempt: int, refusal: Refusal, timeout_ms: int
    ) -> Result[CallReply, LostReply]:
        """Request the coordinator of a token to reject its key before an attempt is refused."""
        ...


class ConnectedPeers(Protocol):
    """Nodes that have a stream open to this node."""

    async def send_poison_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Send these nodes reports of requests that may crash backend servers."""
        ...


class PeerPool(Protocol):
    """Pool of channels to other nodes."""

    def channel(self, node: str) -> PeerChannel:
        """Return the channel to a node, opened on demand."""
        ...

    def close(self, node: str) -> None:
        """Close the stream to a node."""
        ...

    def close_idle(self) -> None:
        """Close the streams whose idle timeout has passed."""
        ...


@define
class ParentCall:
    """Call that runs on the backend server, as the parent of its internal calls."""

    context: CallContext
    policy: CallPolicy
    request: CallRequest
    budget: RetryBudget
    ended: asyncio.Event = field(factory=asyncio.Event)
    internal: set[asyncio.Task] = field(factory=set)
    internal_open: int = 0
    internal_since_ms: int = 0
    internal_ms: int = 0


@define(eq=False)
class CoordinatedRun:
    """Run of a non-idempotent call that this node coordinates for its waiting attempts."""

    task: asyncio.Task | None = None
    waiting_attempts: int = 0
    withdrawn: bool = False
    executor: str = ""
    incarnation: str = ""
    granted_ms: int = 0
    allotted_retries: int = 0


@define(eq=False)
class ExecutorRun:
    """Run of a non-idempotent call that this node executes."""

    task: asyncio.Task | None = None
    task_started: bool = False


@define(eq=False)
class NodeState:
    """Complete state of one node; it is kept in memory only and lost when its incarnation ends."""

    settings: NodeSettings
    clock: Clock
    network: Network
    backend: BackendServer
    incarnation: str
    issuer: TokenIssuer
    coordinated: ExecutionTable
    executed: ExecutionTable
    customers: CustomerBuckets
    admission: AdmissionState
    routing: RoutingTable
    fleet: FleetView
    poison_requests: PoisonRequestTable
    log: DecisionLog
    metrics: Metrics = field(factory=Metrics)
    random: Random = field(factory=Random)
    document: Document = field(factory=Document)
    table: SectionTable = field(factory=SectionTable)
    sections: dict[str, Section] = field(factory=dict)
    refused: dict[str, RefusedSection] = field(factory=dict)
    parent_calls: dict[str, ParentCall] = field(factory=dict)
    slot_waiters: dict[str, asyncio.Future[Refusal | None]] = field(factory=dict)
    state_changed: asyncio.Event = field(factory=asyncio.Event)
    announced_levels: dict[str, int] = field(factory=dict)
    backend_watched: bool = False
    crashes: int = 0
    last_crash_ms: int = 0
    poison_lock: asyncio.Lock = field(factory=asyncio.Lock)
    poison_waiting: int = 0
    coordinated_runs: dict[str, CoordinatedRun] = field(factory=dict)
    executor_runs: dict[str, ExecutorRun] = field(factory=dict)
    peers: PeerPool | None = None
    connected_peers: ConnectedPeers | None = None
    leaving: bool = False
    leaving_causes: set[str] = field(factory=set)
    pause_checked_ms: int = 0
    resumed_ms: int = 0
    pause_length_ms: int = 0
    takeover_delay_ms: int = 0
    reports_received: set[str] = field(factory=set)
    open_calls: int = 0
    idle: asyncio.Event = field(factory=asyncio.Event)
    tasks: set[asyncio.Task] = field(factory=set)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine as a task; the node keeps a reference until the task ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    @contextmanager
    def open_call(self) -> Iterator[None]:
        """Count a call as in flight; a leaving node waits for it."""
        self.open_calls += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.open_calls -= 1
            if self.open_calls == 0:
                self.idle.set()

    @contextmanager
    def internal_call(self, parent: ParentCall) -> Iterator[None]:
        """Measure the time in which a parent call waits for at least one internal call."""
        if parent.internal_open == 0:
            parent.internal_since_ms = self.clock.now_ms()
        parent.internal_open += 1
        try:
            yield
        finally:
            parent.internal_open -= 1
            if parent.internal_open == 0:
                parent.internal_ms += self.clock.now_ms() - parent.internal_since_ms

    def is_disabled(self, mechanism: str) -> bool:
        """Return whether a test disabled a mechanism."""
        return mechanism in self.settings.disabled_mechanisms


def new_state(
    settings: NodeSettings, clock: Clock, network: Network, backend: BackendServer
) -> NodeState:
    """Return the state of a node that has just started."""
    incarnation = secrets.token_hex(6)
    state = NodeState(
        settings,
        clock,
        network,
        backend,
        incarnation,
        TokenIssuer(
            settings.node, incarnation, secrets.token_bytes(32), settings.token_lifetime_ms
        ),
        new_execution_table(settings, settings.token_lifetime_ms),
        new_execution_table(settings, settings.executor_lifetime_ms),
        CustomerBuckets(
            settings.customer_rate_per_s, settings.customer_burst, settings.customer_capacity
        ),
        AdmissionState(
            DEFAULT_SLOTS, settings.queue_limit, settings.queue_ms, float(DEFAULT_SLOTS)
        ),
        RoutingTable(settings.data_centre, settings.node, settings.subset_size, settings.ramp_ms),
        FleetView(),
        PoisonRequestTable(settings.suspect_ttl_ms),
        DecisionLog(clock),
    )
    state.idle.set()
    state.pause_checked_ms = clock.now_ms()
    # Nodes that detect the failure of a reader at the same time take over after different delays.
    state.takeover_delay_ms = state.random.randint(0, settings.lease_ms)
    return state


def new_execution_table(settings: NodeSettings, lifetime_ms: int) -> ExecutionTable:
    """Return an empty execution table with the limits of the settings."""
    return ExecutionTable(settings.execution_capacity, settings.answer_bytes_limit, lifetime_ms)
