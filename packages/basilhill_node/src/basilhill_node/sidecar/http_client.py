"""HTTP/1.1 client for backend servers and the store, without pipelining."""

import asyncio
import re
import socket
from collections.abc import Callable, Sequence

import httptools
from attrs import define, field, frozen
from basilhill.clocks import Clock
from basilhill.memory import HeldMessage, MessageKind
from basilhill.outcomes import FINAL_STATUSES, INTERIM_STATUSES, Header

from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.messages import (
    HttpResponse,
    finished_body,
    header_value,
    parsed_header,
)
from basilhill_node.sidecar.segments import Buffer, SegmentProtocol

CONNECT_TIMEOUT_S = 1.0
# TCP keepalive closes a connection whose remote end has not responded for 3 s: the idle time plus
# two probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
# Buffer of the system for what a server has sent to a connection that waits for memory.
SERVER_BUFFER_BYTES = 64 << 10
# Idle connections are closed before the shortest usual idle timeout of servers, 10 s.
IDLE_MS = 8_000
# Refusals by a server after which a connection is replaced, so that their ids do not accumulate.
MAX_REFUSED_IDS = 256
# Margin below the idle timeout that a server states: the timeout starts when the server sends its
# last byte, which is before the byte arrives at this node.
IDLE_MARGIN_MS = 500
WHOLE_SECONDS = re.compile(r"[0-9]{1,9}")


@frozen
class ResponseLimits:
    """Bounds of what one exchange may receive, beyond which the connection is closed.

    `head_bytes` bounds the bytes received before the end of a head, which include interim responses
    and blank lines. `body_bytes` bounds all bytes after the head, with chunk lines and trailers.
    """

    head_bytes: int = 64 << 10
    header_count: int = 256
    # The operators' limits allow bodies of up to 64 MB.
    body_bytes: int = 64 << 20


class ConnectionFailedError(Exception):
    """Request without a complete response; `sent` is whether the server may have received it."""

    def __init__(self, text: str, sent: bool) -> None:
        super().__init__(text)
        self.sent = sent


class ResponseTooLargeError(ConnectionFailedError):
    """Request whose response exceeds a limit of this node."""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Set keepalive and a send timeout to detect unresponsive peers, and TCP_NODELAY."""
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


class ClientConnection(SegmentProtocol):
    """Connection for one request at a time, unusable after any unexpected event."""

    def __init__(self, clock: Clock, limits: ResponseLimits, memory: MessageMemory) -> None:
        self.clock = clock
        self.limits = limits
        self.memory = memory
        self.message = HeldMessage(MessageKind.RESPONSE)
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[HttpResponse] | None = None
        self.accepts: Callable[[list[Header]], bool] | None = None
        self.bodiless = False
        self.usable = True
        self.requests = 0
        # Hashes of the ids of requests that the server refused on this connection. A late second
        # copy of such a refusal would look like the response to a retry with the same id. The ids
        # themselves can be as long as a head.
        self.refused_ids: set[int] = set()
        self.received_eof = False
        self.idle_since_ms = clock.now_ms()
        self.idle_ms = IDLE_MS
        self.parser = httptools.HttpResponseParser(self)
        # Bytes of this exchange: those received before the end of the final response's head, which
        # the parser may hold, and those received after the end of a head.
        self.unparsed_head_bytes = 0
        self.received_body_bytes = 0
        self.reset_message()

    def reset_message(self) -> None:
        """Reset the parse state for the next response."""
        self.headers: list[Header] = []
        self.body = bytearray()
        self.in_message = False
        self.head_complete = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        set_socket_options(transport)
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_BUFFER_BYTES)

    def data_received(self, data: Buffer) -> None:
        """Parse received bytes; close the connection if no request is in flight."""
        if self.waiter is None:
            self.close()
            return
        if self.head_complete:
            self.received_body_bytes += len(data)
        else:
            self.unparsed_head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("the response switches protocols")
        except httptools.HttpParserError as error:
            self.fail(f"malformed response: {error}")
        if self.waiter is not None:
            self.memory.resize(self.message, len(self.body), self)
            self.enforce_limits()

    def enforce_limits(self) -> None:
        """Fail the request in flight if its response exceeds a limit.

        The route's timeout ends a response that stays within the limits and never ends.
        """
        problem = self.exceeded_limit()
        if problem:
            self.fail(problem, ResponseTooLargeError)

    def exceeded_limit(self) -> str:
        """Return which limit the response in progress exceeds, empty if none."""
        limits = self.limits
        if not self.head_complete and self.unparsed_head_bytes > limits.head_bytes:
            return (
                f"{self.unparsed_head_bytes} bytes without a complete head exceed"
                f" {limits.head_bytes} bytes"
            )
        if len(self.headers) > limits.header_count:
            return f"the response has more than {limits.header_count} headers"
        if self.received_body_bytes > limits.body_bytes:
            return (
                f"{self.received_body_bytes} bytes after the head exceed {limits.body_bytes} bytes"
            )
        return ""

    def update_reading(self) -> None:
        """Pause or resume reading, as the account of memory requires."""
        if self.transport.is_closing():
            return
        if self.message.paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Complete a response without a length, which ends when the connection is closed."""
        self.received_eof = True
        if self.head_complete and self.waiter is not None and not has_length(self.headers):
            self.on_message_complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in flight."""
        self.usable = False
        self.fail(f"the connection was lost: {error!r}" if error else "the connection was closed")
        # The parser and the connection form a reference cycle, and garbage collection is too rare
        # to free it in time.
        self.parser = None

    def on_message_begin(self) -> None:
        if self.waiter is None:
            # The server sent a second response to one request.
            self.usable = False
        self.reset_message()
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; drop a trailer, which must not count as part of the head."""
        if not self.head_complete:
            self.headers.append(parsed_header(name, value))

    def on_headers_complete(self) -> None:
        """Check the head, and complete a response to a HEAD request, which has no body."""
        self.head_complete = True
        parser = self.parser
        problem = head_problem(parser.get_http_version(), parser.get_status_code(), self.headers)
        if problem:
            self.fail(f"malformed response: {problem}")
            return
        if self.bodiless:
            self.usable = False
            self.on_message_complete()

    def on_body(self, part: bytes) -> None:
        # An object for each part would take many times the memory of a part of a few bytes.
        self.body += part

    def on_message_complete(self) -> None:
        """Deliver a complete response; skip one that belongs to an earlier request."""
        self.in_message = False
        status = self.parser.get_status_code()
        if status in INTERIM_STATUSES:
            # The final response follows; until its head ends, further bytes count as head.
            self.head_complete = False
            return
        if self.waiter is None or self.waiter.done():
            return
        if self.accepts is not None and not self.accepts(self.headers):
            self.usable = False
            return
        if self.received_eof or not self.parser.should_keep_alive() or not has_length(self.headers):
            self.usable = False
        if self.transport.get_write_buffer_size():
            # The server responded before the request was sent completely; the rest of the request
            # must not precede the next one.
            self.usable = False
        self.idle_ms = keep_alive_ms(self.headers)
        waiter, self.waiter = self.waiter, None
        waiter.set_result(HttpResponse(status, self.headers, finished_body(self.body)))

    def fail(self, text: str, kind: type[ConnectionFailedError] = ConnectionFailedError) -> None:
        """Fail the request in flight with an error of a kind, and close."""
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(kind(text, sent=True))
        self.close()

    async def exchange(
        self,
        data: Sequence[bytes],
        accepts: Callable[[list[Header]], bool] | None,
        bodiless: bool = False,
    ) -> HttpResponse:
        """Send a request and return the response; raise ConnectionFailedError without one."""
        if not self.usable:
            raise ConnectionFailedError("the connection is closed", sent=False)
        self.accepts = accepts
        self.bodiless = bodiless
        self.unparsed_head_bytes = 0
        self.head_complete = False
        self.requests += 1
        self.waiter = waiter = asyncio.get_running_loop().create_future()
        self.transport.writelines(data)
        try:
            return await waiter
        finally:
            if not waiter.done() or waiter.cancelled():
                self.waiter = None
                self.close()
            # The error of a failed request refers to this frame, and the waiter to the error.
            del waiter
            self.memory.release(self.message)
            self.received_body_bytes = 0
            # The response owns its headers; an idle connection holds no part of an exchange.
            self.headers, self.body, self.accepts = [], bytearray(), None
            self.idle_since_ms = self.clock.now_ms()

    def record_refusal(self, request_id: str) -> None:
        """Record that the server refused a request on this connection."""
        self.refused_ids.add(hash(request_id))
        if len(self.refused_ids) >= MAX_REFUSED_IDS:
            self.usable = False

    @property
    def reused(self) -> bool:
        """Return whether the connection has carried more than one request."""
        return self.requests > 1

    def idle_for_ms(self) -> int:
        return self.clock.now_ms() - self.idle_since_ms

    def is_reusable(self, longest_idle_ms: int) -> bool:
        """Return whether the connection is usable and was idle for less than both limits, in ms."""
        longest_ms = min(self.idle_ms, longest_idle_ms)
        return self.usable and not self.in_message and self.idle_for_ms() < longest_ms

    def close(self) -> None:
        """Close immediately and discard unsent bytes."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()


def head_problem(version: str, status: int, headers: list[Header]) -> str:
    """Return what is wrong with a head that the parser accepts, empty if nothing is.

    The parser accepts the versions 0.9 and 2.0, any three digits as a status, and any transfer
    coding.
    """
    if not version.startswith("1."):
        return f"invalid version HTTP/{version}"
    if status not in FINAL_STATUSES and status not in INTERIM_STATUSES:
        return f"invalid status {status:03}"
    codings = [header.value.lower() for header in headers if header.name == "transfer-encoding"]
    # Clients get the body without its transfer codings, and this node removes chunks only.
    return "" if codings in ([], ["chunked"]) else "unknown transfer coding"


def has_length(headers: list[Header]) -> bool:
    """Return whether the headers define the length of the body."""
    return any(header.name in ("content-length", "transfer-encoding") for header in headers)


def keep_alive_ms(headers: list[Header]) -> int:
    """Return how long an idle connection may be reused, by the server's `Keep-Alive` header."""
    for part in (header_value(headers, "keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and WHOLE_SECONDS.fullmatch(value):
            return min(IDLE_MS, int(value) * 1000 - IDLE_MARGIN_MS)
    return IDLE_MS


@define(eq=False)
class ConnectionPool:
    """Pool of idle connections to one address."""

    address: str
    clock: Clock
    limits: ResponseLimits = field(factory=ResponseLimits)
    memory: MessageMemory = field(factory=MessageMemory.of_node)
    idle: list[ClientConnection] = field(factory=list)
    opened: int = 0

    async def connect(self) -> ClientConnection:
        """Open a connection; raise ConnectionFailedError if the address does not accept it."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self.clock, self.limits, self.memory), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise ConnectionFailedError(f"no connection: {error!r}", sent=False) from error
        self.opened += 1
        return connection

    async def acquire(
        self, longest_idle_ms: int = IDLE_MS, request_id: str = ""
    ) -> ClientConnection:
        """Return the most recently used reusable connection, else a new one.

        A connection on which the server refused the request before is not used again for it.
        """
        while self.idle:
            connection = self.idle.pop()
            if hash(request_id) in connection.refused_ids:
                self.idle.append(connection)
                break
            if connection.is_reusable(longest_idle_ms):
                return connection
            if not connection.usable or not connection.is_reusable(IDLE_MS):
                connection.close()
                continue
            self.idle.append(connection)
            break
        return await self.connect()

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool if it is usable, else close it."""
        if connection.usable and not connection.in_message:
            self.idle.append(connection)
        else:
            connection.close()

    def close_idle(self) -> None:
        """Close the connections that were idle for `IDLE_MS` or are not reusable."""
        self.drop_idle(IDLE_MS)

    def drop_idle(self, idle_ms: int) -> None:
        """Close the connections that were idle for `idle_ms` or are not reusable."""
        kept = []
        for connection in self.idle:
            if connection.is_reusable(idle_ms):
                kept.append(connection)
            else:
                connection.close()
        self.idle = kept

    def close(self) -> None:
        for connection in self.idle:
            connection.close()
        self.idle.clear()
