"""Connections of clients, with strict framing, ordered pipelining and limits."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools
from basilhill.configuration import RequestLimits
from basilhill.memory import HEADER_COST_BYTES
from basilhill.outcomes import Header
from basilhill.queries.memory import has_waiting_message

from basilhill_node.sidecar.exchanges import Exchange, new_held_request
from basilhill_node.sidecar.messages import (
    HttpRequest,
    HttpResponse,
    encode_response,
    finished_body,
    parsed_header,
)
from basilhill_node.sidecar.queries.send_queue import read_send_queue
from basilhill_node.sidecar.segments import Buffer, SegmentProtocol

if TYPE_CHECKING:
    from basilhill_node.sidecar.http_server import HttpServer

# Requests of one connection that are served at the same time; further ones stay in the socket.
PIPELINE_LIMIT = 32
# Retry delay for a client whose body the node had no memory for, in seconds.
MEMORY_RETRY_S = 1
RETRY_LATER = Header("retry-after", str(MEMORY_RETRY_S))
NO_MEMORY = "the node has no memory for the body"
# Causes of refusals in the counter, by status.
REFUSAL_CAUSES = {408: "too slow", 413: "too large", 431: "too large", 503: "memory"}
# A connection with unsent bytes sends no further responses until its client reads, and the account
# of memory counts its response until then.
WRITE_HIGH_BYTES = 0
# While messages wait for memory, a response that its client has not taken after this many idle
# timeouts is cut. A client that reads a byte now and then is never idle.
TAKING_IDLE_TIMEOUTS = 4
# Bytes of the colon, the space and the line end of a header.
HEADER_LINE_BYTES = 4


class ServerConnection(SegmentProtocol):
    """Connection of one client, whose responses are sent in the order of the requests."""

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None
        self.exchanges: deque[Exchange] = deque()
        self.arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.reading_done = False
        self.reading = False
        # A connection opened while the node is leaving is closed only after its first response.
        self.has_responded = False
        self.last_activity_ms = server.clock.now_ms()
        # Bytes of responses that the client had taken at the last check, and the time of the last
        # response or of the last check that found progress.
        self.taken_bytes = 0
        self.taken_ms = self.last_activity_ms
        # Time of the last response.
        self.sent_ms = self.last_activity_ms
        # Bytes received without the end of a line, a chunk or a head. The parser holds them, and
        # they are counted from the second segment on, because one segment can end several requests.
        self.pending_bytes = 0
        self.reset_message()

    def reset_message(self) -> None:
        """Reset the parse state for the next request."""
        self.target = b""
        self.headers: list[Header] = []
        self.body = bytearray()
        self.held_request = new_held_request()
        self.header_bytes = 0
        self.head_complete = False
        limits = self.server.limits()
        self.header_limit = limits.header_bytes
        self.body_limit = limits.body_bytes

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        if not self.server.make_room():
            self.reading_done = True
            transport.abort()
        self.server.connections.add(self)
        self.server.waiting[self] = None
        self.task = asyncio.get_running_loop().create_task(self.run())

    def data_received(self, data: Buffer) -> None:
        """Parse received bytes; respond to a malformed request with 400 and close."""
        if self.reading_done:
            return
        self.pending_bytes += len(data)
        body_bytes = len(self.body)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The upgrade is declined by serving the request over HTTP/1.1.
            self.reading_done = True
        except httptools.HttpParserError as error:
            self.reject(400, f"malformed request: {error}")
        if len(self.body) > body_bytes:
            self.last_activity_ms = self.server.clock.now_ms()
        if self.pending_bytes > self.header_limit + len(data):
            self.reject(431, "a line of the head, a chunk or the trailers is too long")
        if self.reading and not self.reading_done:
            self.server.memory.resize(self.held_request, self.held_bytes(), self)
        if self in self.server.waiting:
            # Moves to the end.
            del self.server.waiting[self]
            self.server.waiting[self] = None
        if not self.reading_done and len(self.exchanges) >= PIPELINE_LIMIT:
            self.update_reading()

    def held_bytes(self) -> int:
        """Return the memory that the incomplete request takes."""
        head_bytes = self.header_bytes + len(self.headers) * HEADER_COST_BYTES
        return len(self.body) + head_bytes + self.pending_bytes

    def abandon(self) -> None:
        """Refuse the incomplete request, whose memory a response needs."""
        self.reject(503, NO_MEMORY, RETRY_LATER)

    def end(self) -> None:
        """Close the connection at once; its client may send again what was not read."""
        self.reading_done = True
        self.server.waiting.pop(self, None)
        self.transport.abort()

    def update_reading(self) -> None:
        """Pause or resume reading, as memory and the number of pipelined requests require."""
        if self.transport.is_closing():
            return
        if self.held_request.paused or len(self.exchanges) >= PIPELINE_LIMIT:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Close a connection that the client has half closed."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of a client that has closed its connection."""
        self.server.connections.discard(self)
        self.server.waiting.pop(self, None)
        self.reading_done = True
        # A cancelled task keeps the frames that it was cancelled in, which refer to what refers to
        # the task, and the parser refers to the connection. Garbage collection is too rare to free
        # such cycles and the messages in them in time.
        self.task.cancel()
        self.task = self.parser = None
        self.drop_request()
        for exchange in self.exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
                exchange.task = None
            self.release(exchange)
        self.exchanges.clear()

    def pause_writing(self) -> None:
        """Delay further responses while the client does not read."""
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self.reading = True
        self.last_activity_ms = self.server.clock.now_ms()
        self.reset_message()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target; reject the request if it is too long."""
        self.pending_bytes = 0
        self.target += url
        self.header_bytes += len(url)
        if self.header_bytes > self.header_limit:
            self.reject(431, "the target is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; reject the request if the header section is too large.

        Trailers count toward the limit and are dropped, since they must not replace headers.
        """
        self.pending_bytes = 0
        if not self.head_complete:
            self.headers.append(parsed_header(name, value))
        self.header_bytes += len(name) + len(value) + HEADER_LINE_BYTES
        if self.header_bytes > self.header_limit:
            self.reject(431, "the header is too large")

    def on_headers_complete(self) -> None:
        """Send 100 Continue if the client waits for it before it sends the body."""
        self.pending_bytes = 0
        self.head_complete = True
        if self.announced_bytes() > self.body_limit:
            self.reject(413, "the body is too large")
        if any(header.name == "expect" for header in self.headers) and not self.reading_done:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def announced_bytes(self) -> int:
        """Return the length of the body that the head states, 0 without one."""
        lengths = [one.value for one in self.headers if one.name == "content-length"]
        return max((int(one) for one in lengths if one.strip().isdigit()), default=0)

    def on_body(self, part: bytes) -> None:
        """Add a part of the body; reject the request if the body is too large."""
        self.pending_bytes = 0
        if len(self.body) + len(part) > self.body_limit:
            self.reject(413, "the body is too large")
        if not self.reading_done:
            # An object for each part would take many times the memory of a part of a few bytes.
            self.body += part

    def on_message_complete(self) -> None:
        """Validate and enqueue a complete request."""
        if self.reading_done:
            return
        self.pending_bytes = 0
        self.reading = False
        method = self.parser.get_method().decode("latin-1")
        body, self.body = finished_body(self.body), bytearray()
        request = HttpRequest(method, self.target.decode("latin-1"), self.headers, body)
        hosts = sum(header.name == "host" for header in self.headers)
        if hosts != 1 or not request.target.startswith("/"):
            self.reject(400, "a request needs one host and a path")
            return
        exchange = Exchange(
            method == "HEAD",
            self.parser.should_keep_alive(),
            request,
            held_request=self.held_request,
        )
        self.server.memory.hold(exchange.held_request, len(request.body))
        self.reading_done = not exchange.keep_alive
        if self.exchanges:
            exchange.task = asyncio.get_running_loop().create_task(self.handle(exchange))
        self.enqueue(exchange)

    # The task of the connection.

    def enqueue(self, exchange: Exchange) -> None:
        self.server.waiting.pop(self, None)
        self.exchanges.append(exchange)
        self.arrived.set()

    def release(self, exchange: Exchange) -> None:
        """Remove the messages of an exchange from the account of memory."""
        self.server.memory.release(exchange.held_request)
        self.server.memory.release(exchange.held_response)

    def reject(self, status: int, text: str, *headers: Header) -> None:
        """Respond with an error after the responses to earlier requests, and stop reading."""
        if self.reading_done:
            return
        self.reading_done = True
        self.drop_request()
        self.server.refuse(REFUSAL_CAUSES.get(status, "malformed"), text, status=status)
        response = HttpResponse(status, list(headers), text.encode())
        self.enqueue(Exchange(False, False, response=response))

    def drop_request(self) -> None:
        """Drop the incomplete request and remove it from the account of memory."""
        self.body = bytearray()
        self.headers = []
        self.server.memory.release(self.held_request)

    async def run(self) -> None:
        """Send all responses; an unexpected error closes this connection and no other."""
        try:
            await self.send_responses()
        except Exception as error:
            self.server.log.record("front", "connection failed", problem=repr(error))
            self.transport.abort()

    async def send_responses(self) -> None:
        """Send the responses of all requests in order, then close."""
        while True:
            while not self.exchanges:
                if self.reading_done or (
                    self.server.leaving and self.has_responded and not self.reading
                ):
                    self.transport.close()
                    return
                self.arrived.clear()
                await self.arrived.wait()
            # A method of its own, so that an idle connection holds no message.
            await self.respond(self.exchanges[0])

    async def respond(self, exchange: Exchange) -> None:
        """Send the response of the first request, and wait until the client reads it."""
        response = exchange.response or await self.finish(exchange)
        self.exchanges.popleft()
        try:
            self.send(exchange, response)
            await self.writable.wait()
        finally:
            self.release(exchange)
        if not self.exchanges and not self.transport.is_closing():
            self.server.waiting[self] = None

    def send(self, exchange: Exchange, response: HttpResponse) -> None:
        """Send a response, after which the connection may be closed."""
        close = not exchange.keep_alive or (self.server.leaving and not self.exchanges)
        self.transport.writelines(encode_response(response, exchange.bodiless, close))
        self.has_responded = True
        self.last_activity_ms = self.taken_ms = self.sent_ms = self.server.clock.now_ms()
        if close:
            self.reading_done = True
            for dropped in self.exchanges:
                self.release(dropped)
            self.exchanges.clear()
        if len(self.exchanges) == PIPELINE_LIMIT - 1 and not self.reading_done:
            self.update_reading()

    async def finish(self, exchange: Exchange) -> HttpResponse:
        """Return the response to a request; an exception in the handler becomes a 500."""
        try:
            return await (exchange.task or self.handle(exchange))
        except Exception as error:
            self.server.log.record("front", "handler failed", problem=repr(error))
            return HttpResponse(500, body=b"internal error")

    async def handle(self, exchange: Exchange) -> HttpResponse:
        """Return the response of the handler, counted until it has been sent."""
        response = await self.server.handler(exchange.request)
        self.server.memory.hold(exchange.held_response, len(response.body))
        return response

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if not self.exchanges and not self.reading:
            self.reading_done = True
            self.transport.close()

    def enforce_timeouts(self, now_ms: int, limits: RequestLimits) -> None:
        """Close the connection if it is idle, or if the client sends or reads too slowly."""
        if self.takes_nothing(now_ms, limits):
            self.transport.abort()
            return
        if self.takes_too_long(now_ms, limits):
            self.server.refuse("slow reader", "a response was not taken while messages wait")
            self.transport.abort()
            return
        inactive_ms = now_ms - self.last_activity_ms
        if self.reading and self.held_request.paused and inactive_ms > limits.header_ms:
            self.reject(503, NO_MEMORY, RETRY_LATER)
        elif self.awaits_request() and inactive_ms > limits.header_ms:
            self.reject(408, "the request did not arrive in time")
        elif not self.exchanges and now_ms - self.idle_since_ms() > limits.idle_ms:
            self.transport.close()

    def idle_since_ms(self) -> int:
        """Return the time of the last progress in either direction."""
        return max(self.last_activity_ms, self.taken_ms)

    def awaits_request(self) -> bool:
        """Return whether the rest of a request is expected; a full pipeline is not read."""
        return self.reading and len(self.exchanges) < PIPELINE_LIMIT

    def takes_nothing(self, now_ms: int, limits: RequestLimits) -> bool:
        """Return whether the client has taken no part of its responses for the idle time."""
        idle = now_ms - self.idle_since_ms() > limits.idle_ms
        if not idle and not self.transport.get_write_buffer_size():
            # The system may still hold bytes, but asking it for each connection would be expensive.
            return False
        queue = read_send_queue(self.transport)
        if queue.pending and queue.taken_bytes != self.taken_bytes:
            self.taken_ms = now_ms
        self.taken_bytes = queue.taken_bytes
        return queue.pending and now_ms - self.taken_ms > limits.idle_ms

    def takes_too_long(self, now_ms: int, limits: RequestLimits) -> bool:
        """Return whether messages wait for the memory of a response that is taken too slowly."""
        if now_ms - self.sent_ms <= TAKING_IDLE_TIMEOUTS * limits.idle_ms:
            return False
        unsent = self.transport.get_write_buffer_size() > 0
        return unsent and has_waiting_message(self.server.memory.account)
