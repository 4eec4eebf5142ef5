"""Tests with servers and clients that send bytes without end until the node closes."""

import asyncio
from contextlib import asynccontextmanager
from itertools import repeat

import pytest
from basilhill.clocks import SystemClock
from basilhill.configuration import RequestLimits
from basilhill.memory import MemoryAccount
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.platform.store import PlatformStore
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.http_client import (
    ConnectionFailedError,
    ConnectionPool,
    ResponseLimits,
)
from basilhill_node.sidecar.http_server import HttpServer
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.messages import HttpRequest, HttpResponse
from basilhill_node.sidecar.store import StoreFailedError

ADDRESS = "127.0.0.1"
REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
LIMITS = ResponseLimits(head_bytes=32 << 10, body_bytes=1 << 20)
# Bytes beyond the limit that the buffers of two sockets and one read of the event loop may hold.
BUFFERED_BYTES = 12 << 20
FILL = b"x" * 16_384
HEAD = b"HTTP/1.1 200 OK\r\nBasilhill-Attempt-Id: one\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# First bytes of a response, and the bytes that are repeated without end.
ENDLESS_RESPONSES = {
    "status line": (b"HTTP/1.1 200 ", FILL),
    "blank lines": (b"", b"\r\n" * 8_192),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    "header value": (HEAD + b"A: ", FILL),
    "headers": (HEAD, b"A: b\r\n" * 2_000),
    "body without a length": (HEAD + b"\r\n", FILL),
    "chunks": (CHUNKED, b"4000\r\n" + FILL + b"\r\n"),
    "one chunk": (CHUNKED + b"fffffffffff\r\n", FILL),
    "chunk extension": (CHUNKED + b"5;", FILL),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 2_000),
    "responses to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nBasilhill-Attempt-Id: two\r\nContent-Length: 9999\r\n\r\n"
        + b"x" * 9_999,
    ),
}


@asynccontextmanager
async def endless_server(begin: bytes, part: bytes):
    """Serve connections on which the response never ends; yield the address and the bytes sent."""
    sent = [0]

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(begin)
        for data in repeat(part):
            writer.write(data)
            await writer.drain()
            sent[0] += len(data)

    async with serve_streams(handle) as address:
        yield address, sent


@pytest.mark.parametrize("form", ENDLESS_RESPONSES)
async def test_endless_response_fails_within_its_limits(form):
    """Guard against a server whose endless response takes all memory of the node."""
    async with endless_server(*ENDLESS_RESPONSES[form]) as (address, sent):
        pool = ConnectionPool(address, SystemClock(), LIMITS)
        dialect = PlatformDialect()
        connection = await pool.acquire()
        async with asyncio.timeout(5):
            with pytest.raises(ConnectionFailedError) as failed:
                await connection.exchange([REQUEST], lambda h: dialect.matches_request(h, "one"))
        assert failed.value.sent
        assert not connection.usable
        assert pool.memory.account.held_bytes == 0
        await asyncio.sleep(0.05)
        assert sent[0] < LIMITS.body_bytes + BUFFERED_BYTES


async def test_large_responses_at_the_same_time_share_one_limit():
    """Guard against responses that together take all memory, and against failing those that wait.

    Beyond the limit all but one wait, so that each of them completes.
    """
    body = b"x" * 900_000
    unsent = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body[:-1])
        await unsent.wait()
        writer.write(body[-1:])
        await writer.drain()

    async with serve_streams(handle) as address:
        memory = MessageMemory(MemoryAccount(1 << 20))
        pool = ConnectionPool(address, SystemClock(), LIMITS, memory)
        connections = [await pool.acquire() for _ in range(4)]
        running = [asyncio.create_task(c.exchange([REQUEST], None)) for c in connections]
        await asyncio.sleep(0.3)
        assert not any(task.done() for task in running)
        assert sum(message.paused for message in memory.account.reading) >= 2
        assert memory.account.held_bytes <= memory.account.limit_bytes + len(body)
        unsent.set()
        async with asyncio.timeout(2):
            responses = await asyncio.gather(*running)
        assert all(response.body == body for response in responses)
        assert memory.account.held_bytes == 0 and not memory.readers


async def test_cancelled_response_makes_room_for_the_others():
    """Guard against responses that wait forever for one whose caller has given up."""
    body = b"x" * 900_000

    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode())
        writer.write(body[:-1] if b"/stalls" in head else body)
        await reader.read()

    async with serve_streams(handle) as address:
        memory = MessageMemory(MemoryAccount(100 << 10))
        pool = ConnectionPool(address, SystemClock(), LIMITS, memory)
        stalled = asyncio.create_task(
            (await pool.acquire()).exchange([REQUEST.replace(b"/a", b"/stalls")], None)
        )
        await asyncio.sleep(0.1)
        others = [asyncio.create_task((await pool.acquire()).exchange([REQUEST], None))]
        await asyncio.sleep(0.1)
        assert not others[0].done()
        stalled.cancel()
        async with asyncio.timeout(2):
            assert (await others[0]).body == body
        assert memory.account.held_bytes == 0 and not memory.readers


async def test_large_response_within_the_limits_is_delivered():
    """Guard against limits that refuse a response as large as a request may be."""
    body = b"x" * (64 << 20)

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode())
        writer.write(body)
        await writer.drain()

    async with serve_streams(handle) as address:
        connection = await ConnectionPool(address, SystemClock()).acquire()
        async with asyncio.timeout(5):
            response = await connection.exchange([REQUEST], None)
        assert len(response.body) == len(body)


async def test_endless_response_of_the_store_is_a_failure_of_the_store():
    """Guard against a store whose endless response takes all memory of the node."""
    begin, part = ENDLESS_RESPONSES["header value"]
    async with endless_server(begin, part) as (address, sent):
        store = PlatformStore.at(address, SystemClock())
        with pytest.raises(StoreFailedError):
            await anext(store.read())
        await asyncio.sleep(0.05)
        assert sent[0] < BUFFERED_BYTES


ENDLESS_REQUESTS = {
    "target": (b"GET /", FILL),
    "header name": (b"GET / HTTP/1.1\r\n", FILL),
    "header value": (b"GET / HTTP/1.1\r\nHost: a\r\nA: ", FILL),
    "headers": (b"GET / HTTP/1.1\r\nHost: a\r\n", b"A: b\r\n" * 2_000),
    "blank lines": (b"", b"\r\n" * 8_192),
    "chunk extension": (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;",
        FILL,
    ),
    "trailers": (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"A: b\r\n" * 2_000,
    ),
    "body": (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"4000\r\n" + FILL + b"\r\n",
    ),
}


@pytest.mark.parametrize("form", ENDLESS_REQUESTS)
async def test_endless_request_is_rejected_within_its_limits(form):
    """Guard against a client whose endless request takes all memory of the node."""
    begin, part = ENDLESS_REQUESTS[form]
    served: list[HttpRequest] = []

    async def handler(request: HttpRequest) -> HttpResponse:
        served.append(request)
        return HttpResponse(200)

    clock = SystemClock()
    limits = RequestLimits(
        header_bytes=16 << 10, body_bytes=1 << 20, header_ms=3_000, idle_ms=3_000
    )
    server = HttpServer(handler, lambda: limits, clock, EventLog(clock))
    await server.start(ADDRESS, 0)
    _, writer = await asyncio.open_connection(ADDRESS, server.server.sockets[0].getsockname()[1])
    sent = 0
    writer.write(begin)
    with pytest.raises(ConnectionError):
        async with asyncio.timeout(2):
            for data in repeat(part):
                writer.write(data)
                await writer.drain()
                sent += len(data)
    assert sent < limits.body_bytes + BUFFERED_BYTES
    assert served == []
    writer.close()
    server.close()


async def test_trailers_do_not_replace_headers():
    """Guard against a response or request whose trailers change the meaning of its head."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED + b"1\r\na\r\n0\r\nBasilhill-Not-Executed: 1\r\n\r\n")

    async with serve_streams(handle) as address:
        connection = await ConnectionPool(address, SystemClock()).acquire()
        response = await connection.exchange([REQUEST], None)
        assert PlatformDialect().decode_answer(response).is_ok()
