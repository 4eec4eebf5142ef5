"""One sidecar node: its parts, wired together and run."""

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Any

from attrs import define, field
from basilhill.backends import BackendDirectory
from basilhill.balancing import LoadTable
from basilhill.clocks import Clock, SystemClock
from basilhill.configuration import RequestLimits

from basilhill_node.logs import DecisionLog
from basilhill_node.sidecar.commands.execute_call import ServerGate
from basilhill_node.sidecar.commands.follow_store import StoreFollower
from basilhill_node.sidecar.commands.serve_request import Origin
from basilhill_node.sidecar.dialect import Dialect
from basilhill_node.sidecar.frames import FrameKind, Hello
from basilhill_node.sidecar.http_client import ConnectionPool
from basilhill_node.sidecar.http_server import HttpServer
from basilhill_node.sidecar.messages import HttpRequest, HttpResponse
from basilhill_node.sidecar.peer_listener import PeerListener
from basilhill_node.sidecar.peer_streams import PeerStreams
from basilhill_node.sidecar.queries.readiness import is_ready
from basilhill_node.sidecar.state import (
    ConfigurationInForce,
    GateState,
    NodeLife,
    OriginState,
    SidecarSettings,
    SidecarState,
    StoreView,
)
from basilhill_node.sidecar.store import Store, StoreDecoder
from basilhill_node.sidecar.streams import StreamConnection

POOL_SWEEP_S = 1.0
# The platform takes a node out after two misses of a question a second.
LEAVE_MS = 3_000
# Time before the kill that is left for closing.
GRACE_MARGIN_MS = 500
QUIET_POLL_S = 0.05


@define(eq=False)
class Sidecar:
    """Hold the running parts of a node."""

    state: SidecarState
    gate: ServerGate
    peers: PeerStreams
    origin: Origin
    listener: PeerListener
    follower: StoreFollower
    front: HttpServer
    ready: HttpServer
    stopped: asyncio.Event = field(factory=asyncio.Event)


def new_state(settings: SidecarSettings, clock: Clock) -> SidecarState:
    """Return the state of a node that has just started."""
    state = SidecarState(
        settings,
        clock,
        DecisionLog(clock),
        ConfigurationInForce(),
        StoreView(),
        BackendDirectory(),
        OriginState(LoadTable(settings.data_centre)),
        GateState(ConnectionPool(settings.backend_address, clock)),
        NodeLife(started_ms=clock.now_ms()),
    )
    # Nodes begin the split of a route at different points.
    state.origin.split_offset = state.origin.random.random()
    return state


def build_sidecar(
    settings: SidecarSettings,
    store: Store,
    decoder: StoreDecoder,
    dialect: Dialect,
    clock: Clock | None = None,
) -> Sidecar:
    """Wire the parts of a node."""
    clock = clock or SystemClock()
    state = new_state(settings, clock)
    gate = ServerGate(state.gate, state.directory, dialect, clock, state.log)
    follower = StoreFollower(
        settings,
        store,
        decoder,
        state.in_force,
        state.directory,
        state.origin.loads,
        state.gate,
        state.store,
        clock,
        state.log,
    )

    def hello() -> Hello:
        return Hello(settings.node, settings.service, state.in_force.version)

    def greet(connection: StreamConnection, hello: Hello) -> None:
        state.log.record("peer", "", f"greeted by {hello.node}", f"version {hello.version}")

    def receive_news(connection: StreamConnection, kind: FrameKind, fields: list[Any]) -> None:
        state.log.record("peer", "", f"news {kind.name}", connection.peer)

    peers = PeerStreams(hello, receive_news, clock, state.log)
    origin = Origin(
        settings, state.origin, state.in_force, state.directory, gate, peers, dialect, clock
    )
    listener = PeerListener(gate, state.origin.levels, greet, receive_news, clock, state.log)
    front = HttpServer(origin.serve, lambda: state.in_force.limits, clock, state.log)
    ready = HttpServer(answer_ready(state), RequestLimits, clock, state.log)
    return Sidecar(state, gate, peers, origin, listener, follower, front, ready)


def answer_ready(state: SidecarState) -> Callable:
    """Return the handler of the platform's question whether the node is ready."""

    async def handle(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if is_ready(state.life, state.in_force) else 503)

    return handle


async def run_sidecar(node: Sidecar) -> None:
    """Run a node until it is told to leave."""
    state, settings = node.state, node.state.settings
    await node.listener.start(settings.address, settings.peer_port)
    await node.front.start(settings.address, settings.client_port)
    await node.ready.start(settings.address, settings.ready_port)
    state.life.spawn(node.follower.run())
    state.life.spawn(close_idle_connections(node))
    state.life.spawn(node.gate.adjust())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stopped.set)
    state.log.record("node", "", f"serving {settings.service} at {settings.address}")
    # What lives now lives as long as the process, so that collections need not visit it.
    gc.collect()
    gc.freeze()
    await node.stopped.wait()
    await leave(node)


async def close_idle_connections(node: Sidecar) -> None:
    """Close connections to the own server that were idle for long, until cancelled."""
    while True:
        await asyncio.sleep(POOL_SWEEP_S)
        node.state.gate.pool.close_idle()


async def leave(node: Sidecar) -> None:
    """Finish what was read, then close everything."""
    state = node.state
    state.life.leaving = True
    state.log.record("node", "", "leaving", f"{state.origin.open_requests} requests in flight")
    started_ms = state.clock.now_ms()
    node.front.leave()
    while True:
        waited_ms = state.clock.now_ms() - started_ms
        if waited_ms >= state.settings.grace_ms - GRACE_MARGIN_MS:
            break
        if waited_ms >= LEAVE_MS and not (
            state.origin.open_requests or state.gate.slots.in_flight or node.front.connections
        ):
            break
        await asyncio.sleep(QUIET_POLL_S)
    state.log.record("node", "", "stopped", f"{state.origin.open_requests} requests cut off")
    node.front.close()
    node.ready.close()
    node.listener.close()
    node.peers.close()
    for task in tuple(state.life.tasks):
        task.cancel()
