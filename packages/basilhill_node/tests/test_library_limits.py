"""Tests of the limitations of aiohttp and sanic, for which the sidecar uses httptools instead.

If a test fails here, the library no longer has the limitation and docs/DECISIONS.md is out of date.
"""

import asyncio

import aiohttp
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.node import serve_http
from sanic import Sanic
from sanic.response import text
from sanic.server.protocols.http_protocol import HttpProtocol

ADDRESS = "127.0.0.1"


def response_bytes(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def test_aiohttp_returns_a_late_extra_response_to_the_next_request():
    """Show that aiohttp returns surplus bytes on a reused connection as the next response."""
    responses = [
        response_bytes(b"first"),
        response_bytes(b"extra of first") + response_bytes(b"second"),
    ]

    async def handle(reader, writer):
        while responses and await reader.readuntil(b"\r\n\r\n"):
            writer.write(responses.pop(0))

    async with serve_streams(handle) as address, aiohttp.ClientSession() as session:
        url = f"http://{address}/"
        async with session.get(url) as response:
            assert await response.read() == b"first"
        async with session.get(url) as response:
            assert await response.read() == b"extra of first"


async def test_sanic_serves_pipelined_requests_sequentially():
    """Show that sanic starts a pipelined request only after the previous response."""
    app = Sanic("pipelining")

    @app.get("/")
    async def slow(_request):
        await asyncio.sleep(0.2)
        return text("done")

    server = await serve_http(app, ADDRESS, 0, HttpProtocol)
    port = server.server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    loop = asyncio.get_running_loop()
    started = loop.time()
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
    received = b""
    async with asyncio.timeout(5):
        while received.count(b"done") < 3:
            received += await reader.read(4_096)
    assert loop.time() - started > 0.55
    writer.close()
    server.close()
