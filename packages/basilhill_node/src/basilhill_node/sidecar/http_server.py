"""HTTP/1.1 server for clients, which bounds their connections."""

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

from attrs import define, field
from basilhill.clocks import Clock
from basilhill.configuration import RequestLimits

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.messages import HttpRequest, HttpResponse
from basilhill_node.sidecar.periodic import repeat
from basilhill_node.sidecar.server_connection import ServerConnection

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

TIMEOUT_CHECK_S = 0.25
BACKLOG = 4096
# Buffers of the system for each connection of a client. They hold what a paused connection was sent
# and what a client does not read, beside the account of memory. Accepted sockets inherit them.
CLIENT_BUFFER_BYTES = 64 << 10


@define(eq=False)
class HttpServer:
    """HTTP server that passes requests to a handler."""

    handler: Handler
    limits: Callable[[], RequestLimits]
    clock: Clock
    log: EventLog
    memory: MessageMemory = field(factory=MessageMemory.of_node)
    # Connections beyond this number replace those that have waited longest for their client.
    max_connections: int | None = None
    # Refused and closed connections by cause.
    refusals: Counter[str] = field(factory=Counter)
    connections: set[ServerConnection] = field(factory=set)
    # Connections without a request in service, those without progress for the longest time first.
    waiting: dict[ServerConnection, None] = field(factory=dict)
    leaving: bool = False
    server: asyncio.Server | None = None
    timeout_task: asyncio.Task | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen on an address; raise OSError if it is in use."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ServerConnection(self), address, port, backlog=BACKLOG
        )
        for listening in self.server.sockets:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CLIENT_BUFFER_BYTES)
        self.timeout_task = loop.create_task(repeat(TIMEOUT_CHECK_S, self.close_expired, self.log))

    def close_expired(self) -> None:
        """Close connections that are idle or send too slowly."""
        now_ms, limits = self.clock.now_ms(), self.limits()
        for connection in tuple(self.connections):
            connection.enforce_timeouts(now_ms, limits)

    def make_room(self) -> bool:
        """Close the longest waiting connection if there are too many; return whether one is."""
        if self.max_connections is None or len(self.connections) < self.max_connections:
            return True
        oldest = next(iter(self.waiting), None)
        self.refuse("connections", f"more than {self.max_connections} connections are open")
        if oldest is None:
            return False
        oldest.end()
        return True

    def refuse(self, cause: str, problem: str, **inputs: int) -> None:
        """Count and log a refusal or the close of a connection."""
        self.refusals[cause] += 1
        if self.log.should_log("front", "rejected", cause):
            self.log.record("front", "rejected", reason=cause, problem=problem, **inputs)

    def leave(self) -> None:
        """Close idle connections now and the other ones after their last response."""
        self.leaving = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that clients have not taken yet."""
        return sum(one.transport.get_write_buffer_size() for one in self.connections)

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self.server is not None:
            self.server.close()
        if self.timeout_task is not None:
            self.timeout_task.cancel()
