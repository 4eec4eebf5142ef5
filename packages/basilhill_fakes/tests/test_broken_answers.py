"""End-to-end tests that broken responses of backend servers do not reach clients."""

import asyncio
from contextlib import AsyncExitStack
from random import Random

import pytest
from basilhill.commands.balancing import EJECT_AFTER_FAILURES
from basilhill_fakes.malformed_responses import malformed_responses
from basilhill_fakes.plain_server import ATTEMPT_ID, SIGNATURE
from basilhill_fakes.raw_server import BODY, RawServer, raw_response
from basilhill_fakes.sidecar_fleet import (
    CLIENT_PORT,
    HOST,
    SERVER_PORT,
    SidecarFleet,
    build_configuration,
    build_route,
)
from basilhill_fakes.soak_fleet import SoakFleet
from basilhill_fakes.stream_server import serve_streams

READS = build_route("r-read", "/read/", "calendar")
WRITES = build_route("r-write", "/write/", "deposits", kind="non_idempotent", priority=0)
INVALID_STATUSES = ("000", "001", "099", "600", "999")
# Each may reach two servers, so retries without a budget would exceed it.
REQUESTS = 100
METHODS = {"GET": "/read/x", "HEAD": "/read/x", "POST": "/write/x"}


def answer_with(status: str):
    """Return a function that builds the response with a status to an attempt."""
    return lambda attempt: raw_response(attempt, status_line=f"HTTP/1.1 {status} Text")


@pytest.fixture
async def fleet():
    async with SidecarFleet() as running:
        running.store.put("op/config", build_configuration(3, READS, WRITES))
        for service in ("calendar", "deposits", "shop"):
            await running.add_vm(service)
        await running.wait_converged(3)
        yield running


async def replace_servers(fleet: SidecarFleet, respond) -> RawServer:
    """Replace the servers of both routes by one that sends raw responses."""
    server = RawServer(respond)
    for vm in fleet.vms[:2]:
        await fleet.replace_server(vm, server.handle)
    return server


@pytest.mark.parametrize("status", INVALID_STATUSES)
@pytest.mark.parametrize("method", METHODS)
async def test_response_with_an_invalid_status_does_not_reach_the_client(fleet, status, method):
    """Guard against a status outside 100 to 599 that a client gets as an answer.

    The server may have run the request, so the refusal must not promise otherwise.
    """
    server = await replace_servers(fleet, answer_with(status))
    for vm in fleet.vms:
        answer = await fleet.send_attempt(vm, METHODS[method], method)
        assert answer.status == 502
        assert SIGNATURE.lower() not in answer.headers
        assert BODY not in answer.body
        assert server.runs[answer.attempt] == 1


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_connection_of_a_response_with_an_invalid_status_is_not_used_again(fleet, status):
    """Guard against the rest of a broken response that the next caller on the connection gets."""
    broken = answer_with(status)
    server = await replace_servers(
        fleet, lambda attempt: broken(attempt) if attempt == "broken" else raw_response(attempt)
    )
    for attempt, status in (("first", 200), ("broken", 502), ("last", 200)):
        answer = await fleet.send_attempt(fleet.vms[0], "/read/x", attempt=attempt)
        assert answer.status == status
    assert server.connections == 2


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_malformed_response_does_not_reach_the_client(fleet, method):
    """Guard against header lines that are passed on, or that change what the body is."""
    forms = malformed_responses("")
    server = await replace_servers(
        fleet, lambda attempt: malformed_responses(attempt)[list(forms)[int(attempt)]]
    )
    for index, form in enumerate(forms):
        attempt = str(index)
        vm = fleet.vms[index % len(fleet.vms)]
        answer = await fleet.send_attempt(vm, METHODS[method], method, attempt=attempt)
        assert (form, answer.status) == (form, 502)
        assert SIGNATURE.lower() not in answer.headers
        assert server.runs[attempt] == 1


async def test_idempotent_request_with_a_broken_response_is_retried_at_another_server(fleet):
    """Guard against a failed call when only one of several servers sends broken responses."""
    sound = await fleet.add_vm("calendar", "b")
    await fleet.wait_converged(3)
    server = await replace_servers(fleet, answer_with("000"))
    answer = await fleet.send_attempt(fleet.vms[0], "/read/x")
    assert (answer.status, answer.body) == (200, b"GET /read/x ")
    assert server.runs == sound.server.runs == {answer.attempt: 1}


async def test_retries_after_broken_responses_stay_within_the_budget(fleet):
    """Guard against a second load on a service whose servers all send broken responses.

    The bound is the platform's: a ratio of 0.2 of the requests, and a minimum of 48.
    """
    await fleet.add_vm("calendar", "b")
    await fleet.wait_converged(3)
    server = RawServer(answer_with("000"))
    for vm in (fleet.vms[0], fleet.vms[3]):
        await fleet.replace_server(vm, server.handle)
    for _ in range(REQUESTS):
        assert (await fleet.send_attempt(fleet.vms[2], "/read/x")).status == 502
    assert 0 < server.runs.total() - REQUESTS <= 0.2 * REQUESTS + 48


async def test_request_is_served_after_broken_responses_of_two_servers(fleet):
    """Guard against broken responses that count as crashes caused by their request."""
    await fleet.add_vm("calendar", "b")
    await fleet.wait_converged(3)
    broken = answer_with("000")
    server = RawServer(
        lambda attempt: broken(attempt) if attempt == "broken" else raw_response(attempt)
    )
    for vm in (fleet.vms[0], fleet.vms[3]):
        await fleet.replace_server(vm, server.handle)
    for attempt, status in (("broken", 502), ("sound", 200)):
        answer = await fleet.send_attempt(fleet.vms[2], "/read/x", attempt=attempt)
        assert answer.status == status
    assert server.runs == {"broken": 2, "sound": 1}


async def test_server_with_broken_responses_is_avoided(fleet):
    """Guard against broken responses that count as successes of their server."""
    await fleet.add_vm("calendar", "b")
    await fleet.wait_converged(3)
    server = await replace_servers(fleet, answer_with("000"))
    for _ in range(20):
        await fleet.send_attempt(fleet.vms[2], "/read/x")
    assert server.runs.total() == EJECT_AFTER_FAILURES


async def received_bytes(address: str, method: str, attempt: str) -> bytes:
    """Send an attempt to a node on a connection of its own; return the bytes of the response."""
    reader, writer = await asyncio.open_connection(address, CLIENT_PORT)
    lines = (
        f"{method} {METHODS[method]} HTTP/1.1", f"Host: {HOST}", f"{ATTEMPT_ID}: {attempt}",
        "Basilhill-Deadline-Ms: 2000", "Content-Length: 0", "Connection: close",
    )  # fmt: skip
    writer.write("\r\n".join((*lines, "", "")).encode())
    async with asyncio.timeout(3):
        received = await reader.read()
    writer.close()
    return received


async def test_clients_of_real_processes_receive_no_broken_response(tmp_path):
    """Guard against bytes at the socket of a client that no parser in the process of a test sees.

    Sound responses between the broken ones are delivered.
    """
    broken = (*malformed_responses(""), *INVALID_STATUSES)
    forms = [form for found in broken for form in (found, "sound")]

    def respond(attempt: str) -> bytes:
        form = forms[int(attempt)]
        if form == "sound":
            return raw_response(attempt)
        if form in INVALID_STATUSES:
            return answer_with(form)(attempt)
        return malformed_responses(attempt)[form]

    server = RawServer(respond)
    fleet = SoakFleet(tmp_path, Random(1), proxied=False)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(fleet.stop)
        await fleet.start(("calendar", "deposits", "shop"))
        for vm in fleet.vms[:2]:
            await vm.runner.cleanup()
            served = serve_streams(server.handle, vm.outer_address, SERVER_PORT)
            await stack.enter_async_context(served)
        for method in ("GET", "POST"):
            for index, form in enumerate(forms):
                vm = fleet.vms[(index // 2) % len(fleet.vms)]
                received = await received_bytes(vm.address, method, str(index))
                head, _, body = received.partition(b"\r\n\r\n")
                if form == "sound":
                    assert head.startswith(b"HTTP/1.1 200 ") and body == BODY
                else:
                    assert head.startswith(b"HTTP/1.1 502 Bad Gateway\r\n"), (form, received)
                    assert SIGNATURE.lower().encode() not in head.lower(), (form, received)
    assert set(server.runs.values()) == {2}
