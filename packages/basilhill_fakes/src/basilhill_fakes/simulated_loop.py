"""Event loop with simulated time and network, on which real node code runs in one process."""

import asyncio
import selectors
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from typing import Any

from attrs import define, field

# Host of the node whose code runs.
HOST: ContextVar[str] = ContextVar("HOST", default="")
LATENCY_S = 0.0015
# Data that is not acknowledged for this long ends a connection, as `USER_TIMEOUT_MS` of nodes does.
UNACKNOWLEDGED_S = 3.0


class SimulatedSelector(selectors.DefaultSelector):
    """Selector that advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the time to the next timer; raise RuntimeError if there is none."""
        if timeout is None:
            raise RuntimeError("all tasks wait for events that no timer causes")
        self.now_s += max(0.0, timeout)
        return []


@define(eq=False)
class HostStep:
    """Callback of a host that is or was paused, which waits until the host resumes."""

    loop: "SimulatedLoop"
    host: str
    callback: Callable
    arguments: tuple
    context: Context
    is_timer: bool
    handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        """Run the callback now, or when the host resumes."""
        if self.host in self.loop.paused:
            self.loop.paused[self.host].append(self)
        else:
            self.callback(*self.arguments)

    def resume(self) -> None:
        """Run the callback unless one that ran before cancelled it."""
        if not self.handle.cancelled():
            self.callback(*self.arguments)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self) -> None:
        self.simulated = SimulatedSelector()
        self.network = SimulatedNetwork(self)
        # Callbacks that wait, by paused host.
        self.paused: dict[str, list[HostStep]] = {}
        super().__init__(self.simulated)

    def pause(self, host: str) -> None:
        """Stop the process of a host, whose kernel still accepts connections and data."""
        self.paused.setdefault(host, [])
        for handle in (*self._ready, *self._scheduled):
            if not handle.cancelled() and handle._context.get(HOST) == host:
                is_timer = isinstance(handle, asyncio.TimerHandle)
                handle._callback, handle._args = (
                    self.host_step(handle._callback, handle._args, handle._context, is_timer),
                    (),
                )
                handle._callback.handle = handle

    def resume(self, host: str) -> None:
        """Let the process of a host handle all that it received, then its timers."""
        for step in sorted(self.paused.pop(host, ()), key=lambda step: step.is_timer):
            self.call_soon(step.resume, context=step.context)

    def call_soon(
        self, callback: Callable, *arguments: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback soon, or when its host resumes."""
        if not self.paused:
            return super().call_soon(callback, *arguments, context=context)
        step = self.host_step(callback, arguments, context, False)
        step.handle = super().call_soon(step, context=step.context)
        return step.handle

    def call_at(
        self, when: float, callback: Callable, *arguments: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a time, or when its host resumes after it."""
        if not self.paused:
            return super().call_at(when, callback, *arguments, context=context)
        step = self.host_step(callback, arguments, context, True)
        step.handle = super().call_at(when, step, context=step.context)
        return step.handle

    def host_step(
        self, callback: Callable, arguments: tuple, context: Context | None, is_timer: bool
    ) -> HostStep:
        """Return a callback that waits while the host of its context is paused."""
        context = copy_context() if context is None else context
        host = context.get(HOST, "")
        return HostStep(self, host, callback, arguments, context, is_timer)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.simulated.now_s

    async def create_connection(self, factory: Callable, host: str, port: int) -> tuple:
        """Connect to a listener of the simulated network; raise OSError if there is none."""
        return await self.network.connect(factory, HOST.get(), host, port)

    async def create_server(
        self, factory: Callable, host: str, port: int, backlog: int = 100
    ) -> "SimulatedServer":
        """Listen on the simulated network, without a bound for connections not yet accepted."""
        return self.network.listen(factory, host, port)


@define
class SimulatedClock:
    """Clock of the simulated time in milliseconds."""

    loop: SimulatedLoop

    def now_ms(self) -> int:
        """Return milliseconds since the start of the simulation."""
        return int(self.loop.time() * 1000)

    def wall_ms(self) -> int:
        """Return milliseconds since the start of the simulation."""
        return self.now_ms()


@define(eq=False)
class SimulatedServer:
    """Listener of one port."""

    factory: Callable
    context: Context
    connections: list["SimulatedTransport"] = field(factory=list)
    sockets: list["SimulatedSocket"] = field(factory=lambda: [SimulatedSocket()])
    closed: bool = False

    def close(self) -> None:
        self.closed = True


@define(eq=False)
class SimulatedNetwork:
    """Connections between hosts, and the pairs of hosts that are cut off from each other."""

    loop: SimulatedLoop
    listeners: dict[tuple[str, int], SimulatedServer] = field(factory=dict)
    transports: list["SimulatedTransport"] = field(factory=list)
    cut: set[frozenset[str]] = field(factory=set)
    # Time that data from and to a host takes in addition, by host.
    delays_s: dict[str, float] = field(factory=dict)

    def listen(self, factory: Callable, host: str, port: int) -> SimulatedServer:
        server = self.listeners[host, port] = SimulatedServer(factory, copy_context())
        return server

    def is_cut(self, host: str, other: str) -> bool:
        return frozenset((host, other)) in self.cut

    async def connect(self, factory: Callable, host: str, other: str, port: int) -> tuple:
        """Open a connection; raise OSError if no process listens."""
        while self.is_cut(host, other):  # noqa: ASYNC110 - tests end cuts by changing a set
            await asyncio.sleep(LATENCY_S)
        await asyncio.sleep(2 * LATENCY_S)
        server = self.listeners.get((other, port))
        if server is None or server.closed:
            raise ConnectionRefusedError(f"no listener at {other}:{port}")
        client = SimulatedTransport(self, host, other, factory(), copy_context())
        accepted = SimulatedTransport(self, other, host, server.factory(), server.context)
        client.peer, accepted.peer = accepted, client
        self.transports = [one for one in self.transports if not one.closed] + [client, accepted]
        accepted.run(accepted.protocol.connection_made, accepted)
        client.protocol.connection_made(client)
        return client, client.protocol

    def reset(self, host: str) -> None:
        """End all connections and listeners of a host, as at the end of its process."""
        for transport in tuple(self.transports):
            if transport.host == host:
                transport.abort()
        for (listening, _), server in self.listeners.items():
            if listening == host:
                server.close()


class SimulatedSocket:
    """Socket whose options have no effect."""

    def setsockopt(self, *_arguments: Any) -> None:
        """Accept any option."""


class SimulatedTransport(asyncio.Transport):
    """One end of a connection, which delivers data in order after `LATENCY_S`."""

    def __init__(
        self,
        network: SimulatedNetwork,
        host: str,
        other: str,
        protocol: asyncio.Protocol,
        context: Context,
    ) -> None:
        super().__init__()
        self.network = network
        self.host = host
        self.other = other
        self.protocol = protocol
        self.context = context
        self.peer: SimulatedTransport | None = None
        # Data and the time at which it was written.
        self.unacknowledged: deque[tuple[bytes, float]] = deque()
        self.closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a socket without effect."""
        return SimulatedSocket() if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not delivered."""
        return sum(len(data) for data, _ in self.unacknowledged)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Accept any limits; the protocol is never paused."""

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closed

    def write(self, data: bytes) -> None:
        """Send data to the other end."""
        if not self.closed:
            self.unacknowledged.append((data, self.network.loop.time()))
            delays_s = self.network.delays_s
            delay_s = delays_s.get(self.host, 0.0) + delays_s.get(self.other, 0.0)
            self.schedule(self.deliver, delay_s)

    def schedule(self, step: Callable, delay_s: float = 0.0) -> None:
        """Run a step of the network, which goes on while hosts are paused."""
        self.network.loop.call_later(LATENCY_S + delay_s, step, context=Context())

    def run(self, step: Callable, *arguments: Any) -> None:
        """Run a step of the process at this end, or let it wait while the process is paused."""
        loop = self.network.loop
        if self.host in loop.paused:
            loop.call_soon(step, *arguments, context=self.context.copy())
        else:
            self.context.copy().run(step, *arguments)

    def deliver(self) -> None:
        """Deliver the oldest data unless the hosts are cut off from each other."""
        if not self.unacknowledged:
            return
        data, written_s = self.unacknowledged[0]
        if self.network.is_cut(self.host, self.other):
            if self.network.loop.time() - written_s > UNACKNOWLEDGED_S:
                self.abort()
            else:
                self.schedule(self.deliver)
            return
        self.unacknowledged.popleft()
        if not self.peer.closed:
            self.peer.run(self.peer.protocol.data_received, data)

    def abort(self) -> None:
        """Close both ends; the other end learns of it once the hosts reach each other."""
        if self.closed:
            return
        self.closed = True
        self.network.loop.call_soon(self.lose, context=self.context)
        self.schedule(self.close_peer)

    def close(self) -> None:
        """Close after the data that was written is delivered."""
        if self.unacknowledged and not self.closed:
            self.schedule(self.close)
        else:
            self.abort()

    def close_peer(self) -> None:
        if self.peer.closed:
            return
        if self.network.is_cut(self.host, self.other):
            self.schedule(self.close_peer)
        else:
            self.peer.abort()

    def lose(self) -> None:
        self.protocol.connection_lost(None)
