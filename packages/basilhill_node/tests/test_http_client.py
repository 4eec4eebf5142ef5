"""Tests of the HTTP client with malformed, late, duplicate and unbounded responses."""

import asyncio
import gc
import weakref
from contextlib import asynccontextmanager

import pytest
from basilhill.clocks import SystemClock
from basilhill_fakes.flood import CONNECTIONS, run_flood
from basilhill_fakes.queries.socket_buffers import unread_bytes
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.sidecar.http_client import (
    SERVER_BUFFER_BYTES,
    ConnectionFailedError,
    ConnectionPool,
)

ADDRESS = "127.0.0.1"
REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


def response_bytes(body: bytes, request_id: str = "one", *headers: str) -> bytes:
    lines = ("HTTP/1.1 200 OK", f"Basilhill-Attempt-Id: {request_id}", *headers)
    return "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode() + body


@asynccontextmanager
async def serving(*responses: bytes, reset: bool = False, close: bool = False):
    """Serve connections on which each request gets the next of the given byte strings."""
    remaining = list(responses)

    async def handle(reader, writer):
        while remaining and await reader.readuntil(b"\r\n\r\n"):
            writer.write(remaining.pop(0))
            await writer.drain()
            if close or reset:
                break
        if reset:
            writer.transport.abort()

    async with serve_streams(handle) as address:
        pool = ConnectionPool(address, SystemClock())
        try:
            yield pool
        finally:
            pool.close()


async def send_request(pool: ConnectionPool, request_id: str = "one"):
    dialect = PlatformDialect()
    connection = await pool.acquire()
    async with asyncio.timeout(1):
        response = await connection.exchange(
            [REQUEST], lambda headers: dialect.matches_request(headers, request_id)
        )
    pool.release(connection)
    return response


async def test_connection_is_reused():
    """Guard against a new connection for each request."""
    async with serving(response_bytes(b"first"), response_bytes(b"second", "two")) as pool:
        assert (await send_request(pool)).body == b"first"
        assert (await send_request(pool, "two")).body == b"second"
        assert pool.opened == 1


async def test_extra_response_is_not_delivered():
    """Guard against an extra response that is delivered to the next request."""
    async with serving(
        response_bytes(b"first") + response_bytes(b"extra"), response_bytes(b"second", "two")
    ) as pool:
        assert (await send_request(pool)).body == b"first"
        await asyncio.sleep(0.05)
        assert (await send_request(pool, "two")).body == b"second"
        assert pool.opened == 2


async def test_late_extra_response_is_skipped_by_its_id():
    """Guard against an extra response that arrives just before the expected one."""
    late = response_bytes(b"late", "one") + response_bytes(b"second", "two")
    async with serving(response_bytes(b"first"), late) as pool:
        assert (await send_request(pool)).body == b"first"
        assert (await send_request(pool, "two")).body == b"second"
        assert pool.idle == []


async def test_truncated_response_fails():
    """Guard against delivery of a body that is shorter than its content length."""
    whole = response_bytes(b"0123456789")
    async with serving(whole[:-4], close=True) as pool:
        with pytest.raises(ConnectionFailedError) as failed:
            await send_request(pool)
        assert failed.value.sent


async def test_response_without_length_ends_with_its_connection():
    """Guard against a request that waits forever for the end of a response without a length."""
    head = b"HTTP/1.1 200 OK\r\nBasilhill-Attempt-Id: one\r\n\r\n"
    async with serving(head + b"endless", close=True) as pool:
        assert (await send_request(pool)).body == b"endless"
        assert pool.idle == []


async def test_response_without_length_fails_on_reset():
    """Guard against delivery of a partial body when the connection is reset."""
    head = b"HTTP/1.1 200 OK\r\nBasilhill-Attempt-Id: one\r\n\r\n"

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"begin")
        await writer.drain()
        await asyncio.sleep(0.05)
        # Closing with a linger of 0 sends a reset.
        import socket
        import struct

        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with serve_streams(handle) as address:
        with pytest.raises(ConnectionFailedError):
            await send_request(ConnectionPool(address, SystemClock()))


async def test_malformed_response_fails():
    """Guard against an uncaught parser error that leaves the request waiting."""
    async with serving(b"\x00\x01garbage\r\n\r\n") as pool:
        with pytest.raises(ConnectionFailedError):
            await send_request(pool)


async def test_connection_with_close_header_is_not_reused():
    """Guard against reuse of a connection that the server has announced to close."""
    async with serving(response_bytes(b"last", "one", "Connection: close")) as pool:
        await send_request(pool)
        assert pool.idle == []


async def test_keep_alive_timeout_limits_reuse():
    """Guard against reuse of a connection that the server closes after its stated timeout."""
    async with serving(response_bytes(b"a", "one", "Keep-Alive: timeout=1")) as pool:
        await send_request(pool)
        assert pool.idle[0].idle_ms == 500


async def test_connection_is_dropped_when_a_request_is_cancelled():
    """Guard against a response to a cancelled request that is delivered to the next one."""
    async with serving(b"", b"") as pool:
        connection = await pool.acquire()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.exchange([REQUEST], None)
        pool.release(connection)
        assert pool.idle == []


async def test_refused_connection_counts_as_not_sent():
    """Guard against a request reported as possibly run although no connection was opened."""
    pool = ConnectionPool(f"{ADDRESS}:1", SystemClock())
    with pytest.raises(ConnectionFailedError) as failed:
        await send_request(pool)
    assert not failed.value.sent


class LargeBody(bytearray):
    """Body of which a test sees whether it is still in memory."""


async def test_failed_request_is_freed_without_garbage_collection():
    """Guard against bodies that stay in memory, in no account, after their server has failed."""
    gc.disable()
    try:
        async with serving(close=True) as pool:
            connection = await pool.acquire()
            body = LargeBody(1 << 20)
            remaining = weakref.ref(body)
            sending = connection.exchange([REQUEST, body], None)
            del body
            with pytest.raises(ConnectionFailedError):
                await sending
            del sending
            await asyncio.sleep(0)
            assert remaining() is None
    finally:
        gc.enable()


async def test_system_holds_little_of_paused_responses():
    """Guard against bytes beside the account, in buffers that grew while a response was fast."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {64 << 20}\r\n\r\n"
    async with run_flood(head.encode()) as flood:
        pool = ConnectionPool(f"{ADDRESS}:{flood.port}", SystemClock())
        connections = [await pool.connect() for _ in range(CONNECTIONS)]
        sending = [
            asyncio.create_task(one.exchange([REQUEST], lambda _headers: True))
            for one in connections
        ]
        await flood.wait_received(lambda: sum(len(one.body) for one in connections))
        for one in connections:
            one.transport.pause_reading()
        await flood.send_further()
        held_bytes = max(unread_bytes(one.transport) for one in connections)
        # Linux doubles the size of a buffer, for what it needs beside the bytes.
        assert 0 < held_bytes <= 2 * SERVER_BUFFER_BYTES
        for one in connections:
            one.close()
        await asyncio.gather(*sending, return_exceptions=True)
