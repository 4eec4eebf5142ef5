"""Tests of how the client listener converts requests and responses."""

import asyncio

import pytest
from aiohttp import web
from basilhill.calls import CallRequest, ParentReference
from basilhill.outcomes import CallReply, ExecutionStatus, Reason, Refusal, not_run
from basilhill.settings import normalise_settings
from basilhill.tokens import IdempotencyToken
from basilhill_node.backend_servers import HttpBackendServer
from basilhill_node.client_listener import refusal_response, served_response
from basilhill_node.commands.serve_call import ServedCall
from basilhill_node.request_targets import Target, parse_target
from expression import Error

ADDRESS = "127.0.9.9"
TOKEN = IdempotencyToken("127.0.9.9:7401", "abc", 1, 0, b"x")


async def response_headers_of(method: str, handler) -> list[tuple[bytes, bytes]]:
    """Return the headers of the response to a call that a backend server handles."""
    app = web.Application()
    app.router.add_route("*", "/x", handler)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, ADDRESS, 0)
    await site.start()
    given = {
        "address": ADDRESS,
        "data_centre": "a",
        "service": "s",
        "platform_url": "http://127.0.0.1:1",
        "backend_port": runner.addresses[0][1],
    }
    backend = HttpBackendServer(normalise_settings(given).ok)
    try:
        request = CallRequest("s", method, "/x")
        outcome = await backend.call(request, ParentReference("n", "i", "p"), 2_000)
    finally:
        await backend.close()
        await runner.cleanup()
    return list(served_response(ServedCall(CallReply(outcome), "id", TOKEN)).processed_headers)


async def test_duplicate_headers_of_a_response_are_kept():
    """Guard against losing all but one of several Set-Cookie headers."""

    async def handler(_request: web.Request) -> web.Response:
        response = web.Response(text="x")
        response.headers.add("Set-Cookie", "a=1")
        response.headers.add("Set-Cookie", "b=2")
        return response

    headers = await response_headers_of("GET", handler)
    cookies = [value for name, value in headers if name.lower() == b"set-cookie"]
    assert cookies == [b"a=1", b"b=2"]


async def test_response_to_head_keeps_the_content_length():
    """Guard against content-length 0 for HEAD, whose response has no body to measure."""

    async def handler(_request: web.Request) -> web.Response:
        return web.Response(body=b"x" * 321)

    assert (b"content-length", b"321") in await response_headers_of("HEAD", handler)


async def test_response_beyond_the_limit_is_dropped_and_may_have_run():
    """Guard against reading a response of any size, and against "not run" after it is dropped."""

    async def handler(_request: web.Request) -> web.Response:
        return web.Response(body=b"x" * 1_000_001)

    headers = await response_headers_of("GET", handler)
    assert (b"basilhill-verdict", b"may-have-run") in headers
    assert (b"basilhill-reason", b"too-large") in headers


async def test_response_header_that_is_not_utf_8_can_be_sent_to_peers():
    """Guard against header bytes that protobuf strings cannot contain."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nx-name: caf\xe9\r\ncontent-length: 1\r\n\r\nx")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, ADDRESS, 0)
    given = {
        "address": ADDRESS,
        "data_centre": "a",
        "service": "s",
        "platform_url": "http://127.0.0.1:1",
        "backend_port": server.sockets[0].getsockname()[1],
    }
    backend = HttpBackendServer(normalise_settings(given).ok)
    outcome = await backend.call(
        CallRequest("s", "GET", "/x"), ParentReference("n", "i", "p"), 2_000
    )
    await backend.close()
    server.close()
    assert [h.value for h in outcome.ok.headers if h.name == "x-name"] == ["caf\u00e9"]


@pytest.mark.parametrize(
    "path", ["/s/a/..", "/s/./a", "/s//a", "/s/a%2Fb", "/s/%2e%2e/b", "/s/a%00", "/s/a\\b", "/s/%g"]
)
def test_path_that_servers_interpret_differently_is_malformed(path):
    """Guard against running a call under the policy of another call."""
    assert parse_target(path, "").error.reason is Reason.MALFORMED


def test_path_and_query_are_forwarded_unchanged():
    """Guard against decoding escapes that the backend server decodes itself."""
    assert parse_target("/s/a%20b/c..d", "x=1%2F2").ok == Target("s", "/a%20b/c..d?x=1%2F2")


def test_refusal_may_quote_text_that_is_not_utf_8():
    """Guard against an encoding error for a refusal that quotes an invalid request."""
    response = refusal_response(not_run(Reason.MALFORMED, "bad \udcff"))
    assert response.body == b"bad \\udcff\n"


def test_uncertain_refusal_has_status_bad_gateway():
    """Guard against status 503, on which clients would retry a call that may have run."""
    refusal = Refusal(ExecutionStatus.MAY_HAVE_RUN, Reason.CONNECTION_LOST, "")
    assert refusal_response(refusal).status == 502
    served = served_response(ServedCall(CallReply(Error(refusal)), "id", TOKEN))
    assert served.headers["basilhill-verdict"] == "may-have-run"
