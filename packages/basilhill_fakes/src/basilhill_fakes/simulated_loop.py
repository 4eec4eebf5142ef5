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


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self) -> None:
        self.simulated = SimulatedSelector()
        self.network = SimulatedNetwork(self)
        super().__init__(self.simulated)

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
        accepted.context.copy().run(accepted.protocol.connection_made, accepted)
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
            self.schedule(self.deliver)

    def schedule(self, step: Callable) -> None:
        self.network.loop.call_later(LATENCY_S, step)

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
            self.peer.context.copy().run(self.peer.protocol.data_received, data)

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
