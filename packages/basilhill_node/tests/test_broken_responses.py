"""Tests of the HTTP client of servers and the store with responses that are not HTTP."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from basilhill.clocks import SystemClock
from basilhill_fakes.malformed_responses import CHUNKS, INTERIM, malformed_responses
from basilhill_fakes.raw_server import raw_response
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.platform.store import PlatformStore
from basilhill_node.sidecar.http_client import ConnectionFailedError, ConnectionPool
from basilhill_node.sidecar.messages import HttpResponse
from basilhill_node.sidecar.store import StoreFailedError

MALFORMED_RESPONSES = malformed_responses("one")
INVALID_STATUSES = (
    "000",
    "001",
    "099",
    "101",
    "600",
    "999",
    "0200",
    "1000",
    "20",
    "-20",
    "2e2",
    "",
)
VALID_STATUSES = (200, 204, 299, 304, 404, 500, 599)


@asynccontextmanager
async def serving(response: bytes):
    """Serve connections on which each request gets the same bytes; yield the address."""

    async def handle(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(response)
            await writer.drain()

    async with serve_streams(handle) as address:
        yield address


async def send_request(pool: ConnectionPool, method: str = "GET") -> HttpResponse:
    """Send a request for attempt `one` and return the response."""
    dialect = PlatformDialect()
    connection = await pool.acquire()
    data = f"{method} /a HTTP/1.1\r\nhost: a\r\n\r\n".encode()
    try:
        async with asyncio.timeout(1):
            return await connection.exchange(
                [data], lambda headers: dialect.matches_request(headers, "one"), method == "HEAD"
            )
    finally:
        pool.release(connection)


async def assert_fails(response: bytes, method: str = "GET") -> None:
    """Check that a response fails a request that may have run, and closes its connection."""
    async with serving(response) as address:
        pool = ConnectionPool(address, SystemClock())
        with pytest.raises(ConnectionFailedError) as failed:
            await send_request(pool, method)
        assert failed.value.sent
        assert pool.idle == []


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("before", [b"", INTERIM, INTERIM * 2], ids=["alone", "interim", "two"])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
async def test_response_with_an_invalid_status_fails(status, before, method):
    """Guard against statuses outside 100 to 599, which RFC 9110 calls invalid."""
    await assert_fails(before + raw_response("one", status_line=f"HTTP/1.1 {status} A"), method)


@pytest.mark.parametrize("status", VALID_STATUSES)
async def test_response_with_a_valid_status_is_delivered(status):
    """Guard against a check of the status that is stricter than RFC 9110."""
    sent = INTERIM + raw_response("one", status_line=f"HTTP/1.1 {status} A")
    async with serving(sent) as address:
        assert (await send_request(ConnectionPool(address, SystemClock()))).status == status


async def test_coding_of_chunks_in_any_case_is_delivered():
    """Guard against a check of transfer codings that refuses the one that each client knows."""
    sent = raw_response("one", framing="Transfer-Encoding: Chunked", body=CHUNKS)
    async with serving(sent) as address:
        assert (await send_request(ConnectionPool(address, SystemClock()))).body == b"abc"


@pytest.mark.parametrize("form", MALFORMED_RESPONSES)
async def test_malformed_response_fails(form):
    """Guard against header lines that are passed on, or that change what the body is."""
    await assert_fails(MALFORMED_RESPONSES[form])


async def test_invalid_status_fails_before_the_end_of_its_body():
    """Guard against waiting for the body of a response that cannot be delivered."""
    await assert_fails(raw_response("one", status_line="HTTP/1.1 000 A", body=b"h"))


@pytest.mark.parametrize(
    "start",
    [
        "HTTP/1.1 000",
        "HTTP/1.1 099",
        "HTTP/1.1 600",
        "HTTP/1.1 999",
        "HTTP/0.9 200",
        "HTTP/2.0 200",
    ],
)
async def test_store_response_with_an_invalid_status_line_is_a_failure_of_the_store(start):
    """Guard against a broken connection to the store that is used again."""
    page = json.dumps({"items": [], "asOf": 5, "hasMore": False}).encode()
    framing = f"Content-Length: {len(page)}"
    status_line = f"{start} A"
    async with serving(
        raw_response("one", status_line=status_line, framing=framing, body=page)
    ) as address:
        store = PlatformStore.at(address, SystemClock())
        for read in (anext(store.read()), store.probe(), store.watch(1, 1)):
            with pytest.raises(StoreFailedError):
                await read
            assert store.pool.idle == []
        assert store.pool.opened == 3
