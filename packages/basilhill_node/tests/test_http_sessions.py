"""Tests of the product's own node with broken responses of backend servers and the platform."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from basilhill.calls import CallContext, CallRequest, ParentReference, PriorityClass
from basilhill.outcomes import (
    Answer,
    CallReply,
    ExecutionStatus,
    Header,
    Outcome,
    Reason,
    execution_status_of,
)
from basilhill.settings import NodeSettings, normalise_settings
from basilhill_fakes.malformed_responses import CHUNKS, INTERIM, malformed_responses
from basilhill_fakes.node_states import DiscardingPeers, new_node_state
from basilhill_fakes.raw_server import BODY, raw_response
from basilhill_fakes.stream_server import serve_streams
from basilhill_node import encoding
from basilhill_node.backend_servers import HttpBackendServer
from basilhill_node.commands.execute_call import execute_call
from basilhill_node.platform_client import REVISION, HttpPlatformClient
from expression import Ok

MALFORMED_RESPONSES = malformed_responses("one")
INVALID_STATUSES = ("000", "001", "099", "101", "600", "999")
SECTION = """
[team.a.service.s]
slots = 4
connections = 10
[team.a.service.s.call.x]
method = "GET"
path = "/x"
idempotent = true
timeout_ms = 1000
usual_ms = 20
"""
BROKEN_RESPONSES = {
    "invalid status": raw_response("one", status_line="HTTP/1.1 000 A"),
    "invalid version": raw_response("one", status_line="HTTP/2.0 200 OK"),
    "blank in a name": raw_response("one", "A b: c"),
    "unknown coding": raw_response("one", framing="Transfer-Encoding: gzip", body=CHUNKS),
}
# What is wrong with responses, by the first lines of their heads.
PROBLEMS = {
    **{f"HTTP/1.1 {status} A": f"invalid status {status}" for status in INVALID_STATUSES},
    "HTTP/0.9 200 OK": "invalid version HTTP/0.9",
    "HTTP/2.0 200 OK": "invalid version HTTP/2.0",
    "HTTP/1.1 200 OK\r\nA b: c": "malformed head: Invalid header token",
}


@asynccontextmanager
async def serving(response: bytes):
    """Serve connections on which each request gets the same bytes; yield settings and counts.

    The counts are those of the connections and of the requests.
    """
    counts = [0, 0]

    async def handle(reader, writer):
        counts[0] += 1
        while await reader.readuntil(b"\r\n\r\n"):
            counts[1] += 1
            writer.write(response)
            await writer.drain()

    async with serve_streams(handle) as address:
        yield settings_of(address), counts


def settings_of(address: str) -> NodeSettings:
    """Return the settings of a node whose backend server and platform have an address."""
    host, _, port = address.rpartition(":")
    given = {
        "address": host,
        "data_centre": "a",
        "service": "s",
        "platform_url": f"http://{address}",
        "backend_port": int(port),
    }
    return normalise_settings(given).ok


async def call(backend: HttpBackendServer, method: str = "GET") -> Outcome:
    request = CallRequest("s", method, "/x")
    return await backend.call(request, ParentReference("n", "i", "p"), 1_000)


async def outcome_of(response: bytes, method: str = "GET") -> Outcome:
    """Return the outcome of a call whose response has the given bytes."""
    async with serving(response) as (settings, _):
        backend = HttpBackendServer(settings)
        try:
            return await call(backend, method)
        finally:
            await backend.close()


def assert_may_have_run(outcome: Outcome, reason: Reason = Reason.TRUNCATED) -> None:
    assert outcome.is_error()
    assert outcome.error.execution_status is ExecutionStatus.MAY_HAVE_RUN
    assert outcome.error.reason is reason


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("before", [b"", INTERIM], ids=["alone", "interim"])
async def test_response_with_an_invalid_status_is_no_answer(status, before):
    """Guard against a status of no final response that a caller gets as an answer."""
    response = raw_response("one", status_line=f"HTTP/1.1 {status} A")
    outcome = await outcome_of(before + response)
    assert_may_have_run(outcome)
    assert f"invalid status {status}" in outcome.error.text


async def test_invalid_status_of_a_response_to_head_is_no_answer():
    """Guard against a status that is checked only where a body follows."""
    response = raw_response("one", status_line="HTTP/1.1 000 A", body=b"")
    assert_may_have_run(await outcome_of(response, "HEAD"))


async def test_response_with_a_valid_status_is_an_answer():
    """Guard against a check of the status that is stricter than RFC 9110."""
    for status in (200, 299, 404, 500, 599):
        response = INTERIM + raw_response("one", status_line=f"HTTP/1.1 {status} A")
        outcome = await outcome_of(response)
        assert (outcome.ok.status, outcome.ok.body) == (status, BODY)


async def test_coding_of_chunks_in_any_case_is_an_answer():
    """Guard against a check of transfer codings that refuses the one that each client knows."""
    outcome = await outcome_of(
        raw_response("one", framing="Transfer-Encoding: Chunked", body=CHUNKS)
    )
    assert outcome.ok.body == b"abc"


@pytest.mark.parametrize("form", MALFORMED_RESPONSES)
async def test_malformed_response_is_no_answer(form):
    """Guard against header lines that are passed on, or that change what the body is."""
    assert_may_have_run(await outcome_of(MALFORMED_RESPONSES[form]))


@pytest.mark.parametrize("coding", ["gzip", "chunked, gzip"])
async def test_body_with_another_coding_that_breaks_off_is_no_answer(coding):
    """Guard against part of a body that counts as complete because its connection has ended."""
    part = raw_response("one", framing=f"Transfer-Encoding: {coding}", body=BODY[:2])

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(part)
        await writer.drain()

    async with serve_streams(handle) as address:
        backend = HttpBackendServer(settings_of(address))
        assert_may_have_run(await call(backend))
        await backend.close()


async def test_connection_of_a_response_with_an_invalid_status_is_not_used_again():
    """Guard against the rest of a broken response that the next call gets."""
    async with serving(raw_response("one", status_line="HTTP/1.1 000 A")) as (settings, counts):
        backend = HttpBackendServer(settings)
        for _ in range(3):
            assert_may_have_run(await call(backend))
        await backend.close()
        assert counts == [3, 3]


async def test_health_response_with_an_invalid_status_reports_nothing():
    """Guard against a node that leaves because of a broken response."""
    body = b'{"state": "draining"}'
    health = raw_response(
        "one",
        "Content-Type: application/json",
        status_line="HTTP/1.1 000 A",
        framing=f"Content-Length: {len(body)}",
        body=body,
    )
    async with serving(health) as (settings, _):
        backend = HttpBackendServer(settings)
        assert await backend.is_draining() is None
        assert not await backend.probe()
        await backend.close()


@pytest.mark.parametrize("start", PROBLEMS)
async def test_broken_response_of_the_platform_is_not_readable(start):
    """Guard against a document or a fleet list that is taken from a broken response.

    The error tells the operator what is wrong with the response.
    """
    body = b'{"vms": []}'
    response = raw_response(
        "one",
        f"{REVISION}: 7",
        "Content-Type: application/json",
        status_line=start,
        framing=f"Content-Length: {len(body)}",
        body=body,
    )
    async with serving(response) as (settings, _):
        client = HttpPlatformClient(settings)
        async with asyncio.timeout(2):
            results = [await client.read_document(), await client.read_fleet()]
        await client.close()
    assert all(result.is_error() and PROBLEMS[start] in result.error for result in results)


@pytest.mark.parametrize("status", [0, 1, 99, 101, 199, 600, 999, -1])
def test_reply_of_an_older_node_with_an_invalid_status_is_no_answer(status):
    """Guard against an older node that passes on the invalid status of its server."""
    answer = Answer(status, (Header("a", "b"),), b"body")
    message = encoding.encode_reply(7, CallReply(Ok(answer), 2))
    reply = encoding.decode_reply(message)
    assert_may_have_run(reply.outcome, Reason.CONNECTION_LOST)
    assert reply.retries_spent == 2


@pytest.mark.parametrize("form", BROKEN_RESPONSES)
async def test_request_with_a_broken_response_is_no_crash_suspect(form):
    """Guard against refusing a request on all servers because two of them send broken responses.

    The server responds, also to the probe, so it has not crashed.
    """
    async with serving(BROKEN_RESPONSES[form]) as (settings, _):
        node = new_node_state(SECTION, HttpBackendServer(settings), 4)
        node.peers = node.connected_peers = DiscardingPeers()
        deadline_ms = node.clock.now_ms() + 5_000
        context = CallContext("action", "browse", PriorityClass.STANDARD, deadline_ms, cohort=0)
        reply = await execute_call(node, context, None, CallRequest("s", "GET", "/x"))
        await node.backend.close()
    assert execution_status_of(reply.outcome) is ExecutionStatus.MAY_HAVE_RUN
    assert node.poison_requests.records == {}
