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
from basilhill.sections import DigestReport, SectionBatch, SectionTable
from basilhill.settings import NodeSettings
from basilhill.suspects import SuspectReport, SuspectTable
from basilhill.tokens import IdempotencyToken, TokenIssuer
from basilhill.verdicts import CallReply, Refusal
from expression import Result

from basilhill_node.backend_servers import BackendServer
from basilhill_node.logs import DecisionLog
from basilhill_node.metrics import Metrics
from basilhill_node.network import Network

UNKNOWN_SLOTS = 10


@frozen
class LostReply:
    """Tell that a call got no reply, whether its frame left, and to which incarnation.

    A refused connection shows that the incarnation known before has ended.
    """

    sent: bool
    incarnation: str = ""
    refused: bool = False


class SectionLink(Protocol):
    """Exchange sections with one other node."""

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; tell whether they left this node."""
        ...

    async def send_report(self, report: DigestReport) -> bool:
        """Send what this node holds; tell whether it left this node."""
        ...


class PeerChannel(SectionLink, Protocol):
    """Call one other node."""

    def touch(self) -> None:
        """Keep the stream open for a while."""
        ...

    async def send_suspects(self, reports: tuple[SuspectReport, ...]) -> None:
        """Tell the peer about requests that may crash servers."""
        ...

    async def execute(
        self, context: CallContext, key: str | None, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Run a call on the backend server beside the peer."""
        ...

    async def coordinate(
        self, token: IdempotencyToken, attempt: int, context: CallContext, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Let the coordinator of a token decide about a copy of its call."""
        ...

    async def revoke(
        self, key: str, incarnation: str, age_ms: int, timeout_ms: int
    ) -> Result[CallReply, LostReply]:
        """Ask an executor to reject a key that has not started, or for its outcome."""
        ...

    async def reject(
        self, token: IdempotencyToken, attempt: int, refusal: Refusal, timeout_ms: int
    ) -> Result[CallReply, LostReply]:
        """Let the coordinator of a token reject its key before a copy is refused."""
        ...


class PeerCallers(Protocol):
    """Reach the nodes that have a stream open to this one."""

    async def send_suspects(self, reports: tuple[SuspectReport, ...]) -> None:
        """Tell all of them about requests that may crash servers."""
        ...


class PeerPool(Protocol):
    """Hold the channels to other nodes."""

    def channel(self, node: str) -> PeerChannel:
        """Return the channel to a node, opened on demand."""
        ...

    def close(self, node: str) -> None:
        """Close the stream to a node."""
        ...

    def close_idle(self) -> None:
        """Close the streams that nothing used lately."""
        ...


@define
class ParentCall:
    """Hold a call that runs on the backend server, for its internal calls."""

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
    """Hold a non-idempotent call that this node coordinates and the copies that wait for it."""

    task: asyncio.Task | None = None
    copies: int = 0
    withdrawn: bool = False
    executor: str = ""
    incarnation: str = ""
    granted_ms: int = 0
    loan: int = 0


@define(eq=False)
class ExecutorRun:
    """Hold a non-idempotent call that this node executes."""

    task: asyncio.Task | None = None
    entered: bool = False


@define(eq=False)
class NodeState:
    """Hold everything that one node knows; all of it is lost when its incarnation ends."""

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
    suspects: SuspectTable
    log: DecisionLog
    metrics: Metrics = field(factory=Metrics)
    random: Random = field(factory=Random)
    document: Document = field(factory=Document)
    table: SectionTable = field(factory=SectionTable)
    sections: dict[str, Section] = field(factory=dict)
    refused: dict[str, RefusedSection] = field(factory=dict)
    parents: dict[str, ParentCall] = field(factory=dict)
    slot_waiters: dict[str, asyncio.Future[Refusal | None]] = field(factory=dict)
    state_changed: asyncio.Event = field(factory=asyncio.Event)
    announced: dict[str, int] = field(factory=dict)
    backend_watched: bool = False
    crashes: int = 0
    crashed_ms: int = 0
    suspect_lock: asyncio.Lock = field(factory=asyncio.Lock)
    suspects_waiting: int = 0
    coordinated_runs: dict[str, CoordinatedRun] = field(factory=dict)
    executor_runs: dict[str, ExecutorRun] = field(factory=dict)
    peers: PeerPool | None = None
    callers: PeerCallers | None = None
    leaving: bool = False
    leaving_causes: set[str] = field(factory=set)
    checked_ms: int = 0
    woken_ms: int = 0
    paused_ms: int = 0
    takeover_ms: int = 0
    reports_received: set[str] = field(factory=set)
    open_calls: int = 0
    idle: asyncio.Event = field(factory=asyncio.Event)
    tasks: set[asyncio.Task] = field(factory=set)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run a coroutine as a task that the node keeps until it ends."""
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
        """Count the time in which a parent call waits for at least one internal call."""
        if parent.internal_open == 0:
            parent.internal_since_ms = self.clock.now_ms()
        parent.internal_open += 1
        try:
            yield
        finally:
            parent.internal_open -= 1
            if parent.internal_open == 0:
                parent.internal_ms += self.clock.now_ms() - parent.internal_since_ms

    def disabled(self, mechanism: str) -> bool:
        """Tell whether a test switched a mechanism off."""
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
            UNKNOWN_SLOTS, settings.queue_limit, settings.queue_ms, float(UNKNOWN_SLOTS)
        ),
        RoutingTable(settings.data_centre, settings.node, settings.subset_size, settings.ramp_ms),
        FleetView(),
        SuspectTable(settings.suspect_ttl_ms),
        DecisionLog(clock),
    )
    state.idle.set()
    state.checked_ms = clock.now_ms()
    # Nodes that notice a silent reader at the same time wait for different times.
    state.takeover_ms = state.random.randint(0, settings.lease_ms)
    return state


def new_execution_table(settings: NodeSettings, lifetime_ms: int) -> ExecutionTable:
    """Return an empty table with the limits of the settings."""
    return ExecutionTable(settings.execution_capacity, settings.answer_bytes_limit, lifetime_ms)
