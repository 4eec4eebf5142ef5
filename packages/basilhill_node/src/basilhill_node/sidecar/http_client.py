"""HTTP/1.1 towards backend servers and the store: one request at a time per connection."""

import asyncio
import socket
from collections.abc import Callable

import httptools
from attrs import define, field
from basilhill.clocks import Clock
from basilhill.verdicts import Header

from basilhill_node.sidecar.messages import HttpResponse, header_value, parsed_header

CONNECT_TIMEOUT_S = 1.0
# A peer that answers no probe for this long is taken as gone: idle time plus two probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
# Idle connections are closed before the shortest usual idle timeout of servers, 10 s.
IDLE_MS = 8_000
# A stated timeout counts from the server's last byte, which left it before it arrived here.
IDLE_MARGIN_MS = 500


class ConnectionFailedError(Exception):
    """Tell that a request got no whole response, and whether any of it may have arrived."""

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Detect peers that fall silent, and send small messages at once."""
    connection = transport.get_extra_info("socket")
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        connection.setsockopt(level, option, value)


class ClientConnection(asyncio.Protocol):
    """Send requests one after the other; unusable after anything unexpected."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[HttpResponse] | None = None
        self.accepts: Callable[[list[Header]], bool] | None = None
        self.bodiless = False
        self.usable = True
        self.requests = 0
        self.ended = False
        self.idle_since_ms = clock.now_ms()
        self.idle_ms = IDLE_MS
        self.parser = httptools.HttpResponseParser(self)
        self.begin_message()

    def begin_message(self) -> None:
        """Forget the response that was read last."""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.in_message = False
        self.head_complete = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport
        set_socket_options(transport)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that nothing waits for end the connection."""
        if self.waiter is None:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("the response switches protocols")
        except httptools.HttpParserError as error:
            self.fail(f"malformed response: {error}")

    def eof_received(self) -> bool:
        """Complete a response without a length, which ends with its connection."""
        self.ended = True
        if self.head_complete and self.waiter is not None and not has_length(self.headers):
            self.on_message_complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight."""
        self.usable = False
        self.fail(f"the connection was lost: {error!r}" if error else "the connection was closed")
        # The parser refers back to the connection; collections come too rarely to free the pair.
        self.parser = None

    def on_message_begin(self) -> None:
        """Start a response."""
        if self.waiter is None:
            # A second response behind the one that was asked for.
            self.usable = False
        self.begin_message()
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append(parsed_header(name, value))

    def on_headers_complete(self) -> None:
        """End a response that has no body by definition."""
        self.head_complete = True
        if self.bodiless:
            self.usable = False
            self.on_message_complete()

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Deliver a response that is whole; skip one that answers an earlier request."""
        self.in_message = False
        status = self.parser.get_status_code()
        if self.waiter is None or self.waiter.done() or 100 <= status < 200:
            return
        if self.accepts is not None and not self.accepts(self.headers):
            self.usable = False
            return
        if self.ended or not self.parser.should_keep_alive() or not has_length(self.headers):
            self.usable = False
        if self.transport.get_write_buffer_size():
            # The rest of a request that was answered early must not meet the next one.
            self.usable = False
        self.idle_ms = keep_alive_ms(self.headers)
        waiter, self.waiter = self.waiter, None
        waiter.set_result(HttpResponse(status, self.headers, b"".join(self.body)))

    def fail(self, text: str) -> None:
        """Fail the request in flight and close."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionFailedError(text, sent=True))
        self.close()

    async def exchange(
        self, data: bytes, accepts: Callable[[list[Header]], bool] | None, bodiless: bool = False
    ) -> HttpResponse:
        """Send a request and return its whole response; ConnectionFailedError without one."""
        if not self.usable:
            raise ConnectionFailedError("the connection is closed", sent=False)
        self.accepts = accepts
        self.bodiless = bodiless
        self.requests += 1
        self.waiter = waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            return await waiter
        finally:
            if not waiter.done() or waiter.cancelled():
                self.waiter = None
                self.close()
            self.idle_since_ms = self.clock.now_ms()

    @property
    def reused(self) -> bool:
        """Tell whether the connection has carried more than one request."""
        return self.requests > 1

    def idle_for_ms(self) -> int:
        """Return how long the connection has been idle."""
        return self.clock.now_ms() - self.idle_since_ms

    def is_reusable(self, longest_idle_ms: int) -> bool:
        """Tell whether the connection may carry another request."""
        longest_ms = min(self.idle_ms, longest_idle_ms)
        return self.usable and not self.in_message and self.idle_for_ms() < longest_ms

    def close(self) -> None:
        """Close at once; nothing that is left to send matters."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()


def has_length(headers: list[Header]) -> bool:
    """Tell whether a response says where it ends."""
    return any(header.name in ("content-length", "transfer-encoding") for header in headers)


def keep_alive_ms(headers: list[Header]) -> int:
    """Return how long a server keeps an idle connection, by its `Keep-Alive` header."""
    for part in (header_value(headers, "keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(IDLE_MS, int(value) * 1000 - IDLE_MARGIN_MS)
    return IDLE_MS


@define(eq=False)
class ConnectionPool:
    """Keep idle connections to one address."""

    address: str
    clock: Clock
    limit: int = 10_000
    idle: list[ClientConnection] = field(factory=list)
    opened: int = 0

    async def connect(self) -> ClientConnection:
        """Open a connection; ConnectionFailedError when the address does not accept one."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.clock), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ConnectionFailedError(f"no connection: {error!r}", sent=False) from error
        self.opened += 1
        return connection

    async def acquire(self, longest_idle_ms: int = IDLE_MS) -> ClientConnection:
        """Return the connection used last that may be used again, else a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_reusable(longest_idle_ms):
                return connection
            if not connection.usable or not connection.is_reusable(IDLE_MS):
                connection.close()
                continue
            self.idle.append(connection)
            break
        return await self.connect()

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection whose response was whole; close any other."""
        if connection.usable and not connection.in_message:
            self.idle.append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close the connections that were idle for long."""
        self.drop_idle(IDLE_MS)

    def drop_idle(self, idle_ms: int) -> None:
        """Close the connections that were idle for some time, and those that may not be used."""
        kept = []
        for connection in self.idle:
            if connection.is_reusable(idle_ms):
                kept.append(connection)
            else:
                connection.close()
        self.idle = kept

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
