"""Tests of the slots of a backend server while calls wait and are cancelled."""

import asyncio
import sys

import pytest
from attrs import evolve
from basilhill.backends import BackendDirectory
from basilhill.clocks import SystemClock
from basilhill.commands.slots import release_slot
from basilhill.outcomes import Reason
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.sidecar.commands.execute_call import CallExecutor
from basilhill_node.sidecar.commands.filter_poison_requests import PoisonRequestFilter
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.http_client import MAX_REFUSED_IDS, ConnectionPool
from basilhill_node.sidecar.state import ExecutorState, NodeLifecycle

SERVICE_MS = 20


def new_executor(slots: int) -> CallExecutor:
    clock = SystemClock()
    log = EventLog(clock)
    state = ExecutorState(ConnectionPool("127.0.0.1:1", clock))
    state.slots.slots = slots
    poison_filter = PoisonRequestFilter(state.poison_requests, state.pool, clock, log)
    return CallExecutor(
        state, BackendDirectory(), NodeLifecycle(), poison_filter, PlatformDialect(), clock, log
    )


def call(number: int) -> Execute:
    return Execute(
        number, "i-1", f"id{number}", "shop", "r", True, 5_000, 5_000, 5_000, 31, False, 1.0, "GET",
        "/x", [], b"",
    )  # fmt: skip


async def start_call(executor: CallExecutor, number: int) -> asyncio.Task:
    task = asyncio.get_running_loop().create_task(
        executor.wait_for_slot(call(number), executor.clock.now_ms())
    )
    await asyncio.sleep(0)
    return task


async def test_slot_granted_in_the_iteration_of_a_cancellation_is_not_lost():
    """Guard against slots that are never released when waiting calls are often cancelled.

    A failing parent cancels its other calls in the same event loop iteration in which a response
    frees a slot.
    """
    executor = new_executor(1)
    first = await start_call(executor, 1)
    waiting = await start_call(executor, 2)
    assert (first.done(), waiting.done()) == (True, False)
    waiting.cancel()
    release_slot(executor.state.slots, SERVICE_MS)
    executor.start_waiting_calls()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert (executor.state.slots.in_flight, executor.state.slots.waiting) == (0, [])


async def test_slot_of_a_call_cancelled_before_it_resumes_goes_to_the_next():
    """Guard against a slot lost with a call that is cancelled after it got the slot."""
    executor = new_executor(1)
    await start_call(executor, 1)
    waiting, next_one = await start_call(executor, 2), await start_call(executor, 3)
    release_slot(executor.state.slots, SERVICE_MS)
    executor.start_waiting_calls()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert await next_one is None
    assert executor.state.slots.in_flight == 1


async def test_late_copy_of_a_refusal_is_not_taken_for_the_response_to_a_retry():
    """Guard against "not run" for a retry that runs while a second copy of a refusal arrives.

    A retry has the id of the request, so the id does not tell the copy from the response.
    """
    refusal = (
        b"HTTP/1.1 503 Full\r\nBasilhill-Attempt-Id: id1\r\nBasilhill-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    answer = b"HTTP/1.1 200 OK\r\nBasilhill-Attempt-Id: id1\r\nContent-Length: 2\r\n\r\nok"
    arrivals = []

    async def handle(reader, writer):
        on_connection = 0
        while await reader.readuntil(b"\r\n\r\n"):
            arrivals.append(on_connection)
            on_connection += 1
            # The copy of the refusal arrives just after the next request on this connection.
            copy = refusal if on_connection > 1 else b""
            writer.write(refusal if len(arrivals) == 1 else copy + answer)

    executor = new_executor(1)
    async with serve_streams(handle) as executor.state.pool.address:
        refused = await executor.execute(call(1))
        assert refused.error.reason is Reason.SERVER_REFUSED
        retried = await executor.execute(call(1))
        assert retried.is_ok() and retried.ok.body == b"ok"
        assert arrivals == [0, 0]
        executor.state.pool.close()


async def test_long_ids_of_refused_requests_are_not_kept():
    """Guard against connections that hold up to 256 ids of the length that clients choose."""

    async def handle(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(
                b"HTTP/1.1 503 Full\r\nBasilhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )

    executor = new_executor(1)
    pool = executor.state.pool
    async with serve_streams(handle) as pool.address:
        for number in range(MAX_REFUSED_IDS // 2):
            refused = await executor.execute(evolve(call(number), request_id=f"{number:08000}"))
            assert refused.error.reason is Reason.SERVER_REFUSED
        (connection,) = pool.idle
        assert len(connection.refused_ids) == MAX_REFUSED_IDS // 2
        assert sum(map(sys.getsizeof, connection.refused_ids)) < 100 * MAX_REFUSED_IDS
        pool.close()


async def test_ids_of_refused_requests_do_not_accumulate():
    """Guard against a connection that holds the id of each request that its server ever refused."""

    async def handle(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            attempt = head.partition(b"basilhill-attempt-id: ")[2].partition(b"\r\n")[0]
            writer.write(
                b"HTTP/1.1 503 Full\r\nBasilhill-Not-Executed: 1\r\nContent-Length: 0\r\n"
                b"Basilhill-Attempt-Id: " + attempt + b"\r\n\r\n"
            )

    executor = new_executor(1)
    pool = executor.state.pool
    async with serve_streams(handle) as pool.address:
        for number in range(3 * MAX_REFUSED_IDS):
            refused = await executor.execute(call(number))
            assert refused.error.reason is Reason.SERVER_REFUSED
            assert all(len(one.refused_ids) < MAX_REFUSED_IDS for one in pool.idle)
        assert pool.opened == 3
        pool.close()
