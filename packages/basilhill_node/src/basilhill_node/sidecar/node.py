"""Construction, start and shutdown of a sidecar node."""

import asyncio
import gc
import signal

from attrs import define, field
from basilhill.backends import BackendDirectory
from basilhill.balancing import LoadTable
from basilhill.clocks import Clock, SystemClock
from basilhill.commands.balancing import retain_targets
from basilhill.commands.levels import drop_expired_levels
from basilhill.commands.poison_requests import expire_crash_records
from basilhill.commands.response_times import retain_routes
from basilhill.configuration import RequestLimits
from basilhill.queries.configuration import route_names

from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.commands.borrow_credits import CreditBorrower
from basilhill_node.sidecar.commands.dispatch_request import RequestDispatcher
from basilhill_node.sidecar.commands.exchange_peer_updates import PeerUpdateExchange
from basilhill_node.sidecar.commands.execute_call import (
    ADJUST_INTERVAL_S,
    LEAVING_INTERVAL_S,
    CallExecutor,
)
from basilhill_node.sidecar.commands.filter_poison_requests import PoisonRequestFilter
from basilhill_node.sidecar.commands.follow_feed import FeedFollower
from basilhill_node.sidecar.commands.follow_store import EXPIRY_INTERVAL_S, StoreFollower
from basilhill_node.sidecar.commands.keep_credits import CreditKeeper
from basilhill_node.sidecar.commands.publish_feed import HEARTBEAT_S, FeedPublisher
from basilhill_node.sidecar.commands.read_store import StoreReader
from basilhill_node.sidecar.commands.reload_settings import SettingsReloader
from basilhill_node.sidecar.commands.send_call import CallSender
from basilhill_node.sidecar.commands.serve_request import Origin
from basilhill_node.sidecar.commands.spend_retries import RetryBudget
from basilhill_node.sidecar.dialect import Dialect
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.handlers import metrics_handler, readiness_handler
from basilhill_node.sidecar.http_client import ConnectionPool
from basilhill_node.sidecar.http_server import HttpServer
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.peer_listener import PeerListener
from basilhill_node.sidecar.peer_streams import CHECK_INTERVAL_S, PeerStreams
from basilhill_node.sidecar.periodic import repeat
from basilhill_node.sidecar.process_signals import handled_signals
from basilhill_node.sidecar.state import (
    ActiveConfiguration,
    ExecutorState,
    NodeLifecycle,
    OriginState,
    SidecarSettings,
    SidecarState,
    StoreView,
)
from basilhill_node.sidecar.store import Store, StoreDecoder

CLEANUP_INTERVAL_S = 1.0
# Time from the start of leaving until the node refuses new requests. The platform checks readiness
# once a second and removes a node after two failed checks.
DRAIN_NOTICE_MS = 2_200
# Share of the grace time reserved for the last responses and for the end of the process, which
# takes longer on a slow VM. The platform tolerates requests that servers are still running in the
# last sixth of the grace time.
GRACE_MARGIN_SHARE = 0.15
# Time to send the last responses after their requests have been expired.
FINAL_RESPONSES_MS = 150
DRAIN_POLL_S = 0.05
# Reference counting frees nearly all objects, so the default threshold of 700 new objects would run
# several unnecessary collections a second.
GC_THRESHOLDS = (20_000, 10, 10)


@define(eq=False)
class Sidecar:
    """Components of a running node."""

    state: SidecarState
    executor: CallExecutor
    peers: PeerStreams
    origin: Origin
    keeper: CreditKeeper
    credits: CreditBorrower
    listener: PeerListener
    follower: StoreFollower
    publisher: FeedPublisher
    client_listener: HttpServer
    ready: HttpServer
    metrics: HttpServer
    stopped: asyncio.Event = field(factory=asyncio.Event)


def new_state(settings: SidecarSettings, clock: Clock) -> SidecarState:
    """Return the initial state of a node."""
    memory = MessageMemory.of_node(settings.memory_mb)
    state = SidecarState(
        settings,
        clock,
        EventLog(clock),
        ActiveConfiguration(),
        StoreView(),
        BackendDirectory(),
        OriginState(LoadTable(settings.data_centre)),
        ExecutorState(ConnectionPool(settings.backend_address, clock, memory=memory)),
        NodeLifecycle(started_ms=clock.now_ms()),
        memory,
    )
    # A random offset, so that nodes do not all start at the same point of a route's traffic split.
    state.origin.split_offset = state.origin.random.random()
    return state


def build_sidecar(
    settings: SidecarSettings,
    store: Store,
    decoder: StoreDecoder,
    dialect: Dialect,
    clock: Clock | None = None,
) -> Sidecar:
    """Return a node with connected components; nothing is started yet."""
    clock = clock or SystemClock()
    state = new_state(settings, clock)
    log = state.log
    updater = ViewUpdater(
        settings,
        decoder,
        state.active_configuration,
        state.directory,
        state.origin,
        state.executor,
        clock,
        log,
    )
    peer_updates = PeerUpdateExchange(
        settings,
        state.active_configuration,
        state.directory,
        state.store,
        state.executor.poison_requests,
        updater,
        clock,
        log,
    )
    publisher = FeedPublisher(
        state.active_configuration, state.directory, state.store, state.lifecycle, clock, log
    )

    keeper = CreditKeeper(
        state.credits, state.active_configuration, state.directory, state.lifecycle, clock, log
    )

    def entries_changed(server_ids: set[str]) -> None:
        keeper.entries_changed(server_ids)
        peer_updates.entries_changed(server_ids)
        publisher.entries_changed(server_ids)

    def version_changed() -> None:
        peer_updates.version_changed()
        publisher.version_changed()

    updater.entries_changed = entries_changed
    updater.entries_replaced = publisher.entries_replaced
    updater.version_changed = version_changed
    state.store.changed = peer_updates.broadcast_hello
    poison_filter = PoisonRequestFilter(
        state.executor.poison_requests, state.executor.pool, clock, log, peer_updates.publish_report
    )
    executor = CallExecutor(
        state.executor,
        state.directory,
        state.lifecycle,
        poison_filter,
        dialect,
        clock,
        log,
        updater.record_leaving,
        updater.record_refuted,
    )
    feeds = FeedFollower(settings, state.active_configuration, state.store, updater, clock, log)
    reader = StoreReader(store, decoder, updater, publisher, state.store, clock, log)
    follower = StoreFollower(settings, reader, updater, publisher, feeds, state.store, clock, log)
    peers = PeerStreams(peer_updates, clock, log, state.memory)
    retries = RetryBudget(settings, state.origin, state.directory, clock)
    sender = CallSender(
        settings,
        state.origin,
        executor,
        peers,
        retries,
        dialect,
        clock,
        updater.record_leaving,
        updater.record_refuted,
    )
    credits = CreditBorrower(
        settings, state.credits, state.origin, state.lifecycle, keeper, peers, clock, log
    )
    dispatcher = RequestDispatcher(
        settings, state.origin, state.directory, sender, retries, state.metrics, clock
    )
    origin = Origin(
        state.origin,
        state.active_configuration,
        state.store,
        executor,
        dispatcher,
        retries,
        credits,
        dialect,
        state.metrics,
        clock,
    )
    listener = PeerListener(
        executor,
        state.origin.levels,
        peer_updates,
        publisher,
        keeper,
        clock,
        log,
        state.memory,
    )
    client_listener = HttpServer(
        origin.serve,
        lambda: state.active_configuration.limits,
        clock,
        log,
        state.memory,
        settings.client_connections,
        state.metrics.client_refusals,
    )
    ready = HttpServer(readiness_handler(state), RequestLimits, clock, log, state.memory)
    metrics = HttpServer(metrics_handler(state), RequestLimits, clock, log, state.memory)
    return Sidecar(
        state,
        executor,
        peers,
        origin,
        keeper,
        credits,
        listener,
        follower,
        publisher,
        client_listener,
        ready,
        metrics,
    )


async def run_sidecar(node: Sidecar, reloader: SettingsReloader | None = None) -> None:
    """Run a node until SIGTERM or SIGINT, then shut it down gracefully."""
    handlers = {signal.SIGTERM: node.stopped.set, signal.SIGINT: node.stopped.set}
    if reloader is not None:
        node.state.lifecycle.spawn(reloader.run())
        handlers[signal.SIGHUP] = reloader.reload_requested.set
    with handled_signals(handlers, asyncio.get_running_loop().call_soon_threadsafe):
        await start_sidecar(node)
        # Objects that exist after start-up remain until the process exits, so garbage collection
        # can skip them.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await node.stopped.wait()
        await leave(node)


async def start_sidecar(node: Sidecar) -> None:
    """Listen and start the tasks of a node; raise OSError if an address is in use."""
    state, settings = node.state, node.state.settings
    await node.listener.start(settings.address, settings.peer_port)
    await node.client_listener.start(settings.address, settings.client_port)
    await node.ready.start(settings.address, settings.ready_port)
    await node.metrics.start(settings.address, settings.metrics_port)
    state.lifecycle.spawn(node.follower.run())

    def clean_up() -> None:
        remove_expired_state(node)

    for interval_s, step in (
        (HEARTBEAT_S, node.publisher.send_heartbeat),
        (EXPIRY_INTERVAL_S, node.follower.expire_retained),
        (CLEANUP_INTERVAL_S, clean_up),
        (CHECK_INTERVAL_S, node.peers.check_busy),
        (ADJUST_INTERVAL_S, node.executor.adjust_admission_level),
        (LEAVING_INTERVAL_S, node.executor.refuse_calls_of_leaving_servers),
    ):
        state.lifecycle.spawn(repeat(interval_s, step, state.log))
    state.log.record(
        "node",
        "started",
        node=settings.node,
        service=settings.service,
        data_centre=settings.data_centre,
        address=settings.address,
    )


def remove_expired_state(node: Sidecar) -> None:
    """Remove expired state; without this, tables would grow with the uptime and with the fleet."""
    state = node.state
    now_ms = state.clock.now_ms()
    state.executor.pool.close_idle()
    drop_expired_levels(state.origin.levels, now_ms)
    expire_crash_records(state.executor.poison_requests, now_ms)
    retain_routes(state.executor.times, route_names(state.active_configuration.configuration))
    directory = state.directory
    state.executor.misdirected_ids.intersection_update(directory.entries)
    retain_targets(state.origin.loads, directory.entries.keys() | directory.removed_entries.keys())
    node.keeper.expire_unused()
    node.credits.expire_unused()
    node.peers.drop_unused()


async def leave(node: Sidecar) -> None:
    """Shut down: serve for `DRAIN_NOTICE_MS`, complete open requests, then close."""
    state = node.state
    state.lifecycle.leaving = True
    state.log.record("node", "leaving", requests=state.origin.open_requests)
    started_ms = state.clock.now_ms()
    longest_ms = int(state.settings.grace_ms * (1 - GRACE_MARGIN_SHARE))
    node.publisher.end("the node is stopping")
    node.client_listener.leave()
    await asyncio.sleep(DRAIN_NOTICE_MS / 1000)
    state.lifecycle.closing = True
    while has_work_in_flight(node) and state.clock.now_ms() - started_ms < longest_ms:
        node.client_listener.leave()
        await asyncio.sleep(DRAIN_POLL_S)
    cut_off = state.origin.open_requests
    node.origin.dispatcher.expire_all()
    await asyncio.sleep(FINAL_RESPONSES_MS / 1000)
    unsent_bytes = node.client_listener.unsent_bytes() + node.listener.unsent_bytes()
    state.log.record("node", "stopped", cut_off=cut_off, unsent_bytes=unsent_bytes)
    close_sidecar(node)


def has_work_in_flight(node: Sidecar) -> bool:
    """Return whether requests or calls are in flight, or responses are not sent completely."""
    return bool(
        node.state.origin.open_requests
        or node.state.executor.slots.in_flight
        or node.client_listener.unsent_bytes()
        or node.listener.unsent_bytes()
    )


def close_sidecar(node: Sidecar) -> None:
    """Close the listeners and the connections to nodes and servers, and cancel all tasks."""
    for server in (node.client_listener, node.ready, node.metrics):
        server.close()
    node.listener.close()
    node.peers.close()
    node.state.executor.pool.close()
    for task in tuple(node.state.lifecycle.tasks):
        task.cancel()
