"""Tests of what the front makes of requests and answers."""

import asyncio

import pytest
from aiohttp import web
from basilhill.calls import CallRequest, ParentReference
from basilhill.settings import normalise_settings
from basilhill.tokens import IdempotencyToken
from basilhill.verdicts import CallReply, Reason, Refusal, Verdict, not_run
from basilhill_node.backend_servers import HttpBackendServer
from basilhill_node.commands.serve_call import ServedCall
from basilhill_node.front import refusal_response, served_response
from basilhill_node.targets import Target, parse_target
from expression import Error

ADDRESS = "127.0.9.9"
TOKEN = IdempotencyToken("127.0.9.9:7401", "abc", 1, 0, b"x")


async def answer_of(method: str, handler) -> list[tuple[bytes, bytes]]:
    """Return the headers of the response to a call that a handler answers."""
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


async def test_duplicate_headers_of_an_answer_survive():
    async def handler(_request: web.Request) -> web.Response:
        response = web.Response(text="x")
        response.headers.add("Set-Cookie", "a=1")
        response.headers.add("Set-Cookie", "b=2")
        return response

    headers = await answer_of("GET", handler)
    cookies = [value for name, value in headers if name.lower() == b"set-cookie"]
    assert cookies == [b"a=1", b"b=2"]


async def test_answer_to_head_keeps_the_length_that_get_would_have():
    async def handler(_request: web.Request) -> web.Response:
        return web.Response(body=b"x" * 321)

    assert (b"content-length", b"321") in await answer_of("HEAD", handler)


async def test_answer_beyond_the_limit_takes_no_more_memory_and_may_have_run():
    async def handler(_request: web.Request) -> web.Response:
        return web.Response(body=b"x" * 1_000_001)

    headers = await answer_of("GET", handler)
    assert (b"basilhill-verdict", b"may-have-run") in headers
    assert (b"basilhill-reason", b"too-large") in headers


async def test_header_of_an_answer_that_is_not_utf_8_can_pass_between_nodes():
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
def test_path_that_servers_read_in_two_ways_is_malformed(path):
    assert parse_target(path, "").error.reason is Reason.MALFORMED


def test_path_and_query_pass_on_unchanged():
    assert parse_target("/s/a%20b/c..d", "x=1%2F2").ok == Target("s", "/a%20b/c..d?x=1%2F2")


def test_refusal_may_quote_text_that_is_no_utf_8():
    response = refusal_response(not_run(Reason.MALFORMED, "bad \udcff"))
    assert response.body == b"bad \\udcff\n"


def test_uncertain_refusal_is_a_bad_gateway_and_not_a_try_again():
    refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, "")
    assert refusal_response(refusal).status == 502
    served = served_response(ServedCall(CallReply(Error(refusal)), "id", TOKEN))
    assert served.headers["basilhill-verdict"] == "may-have-run"
