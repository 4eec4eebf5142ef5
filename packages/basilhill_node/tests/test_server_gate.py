"""Tests of the slots of a backend server while calls come, wait and are cancelled."""

import asyncio

import pytest
from basilhill.backends import BackendDirectory
from basilhill.clocks import SystemClock
from basilhill.commands.slots import release_slot
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.sidecar.commands.execute_call import ServerGate
from basilhill_node.sidecar.commands.screen_request import CrashScreen
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.http_client import ConnectionPool
from basilhill_node.sidecar.state import GateState, NodeLife

SERVICE_MS = 20


def new_gate(slots: int) -> ServerGate:
    clock = SystemClock()
    log = EventLog(clock)
    state = GateState(ConnectionPool("127.0.0.1:1", clock))
    state.slots.slots = slots
    screen = CrashScreen(state.suspects, state.pool, clock, log)
    return ServerGate(state, BackendDirectory(), NodeLife(), screen, PlatformDialect(), clock, log)


def call(number: int) -> Execute:
    return Execute(
        number, "i-1", f"id{number}", "shop", "r", True, 5_000, 5_000, 5_000, 31, False, 1.0, "GET",
        "/x", [], b"",
    )  # fmt: skip


async def enter(gate: ServerGate, number: int) -> asyncio.Task:
    task = asyncio.get_running_loop().create_task(gate.enter(call(number), gate.clock.now_ms()))
    await asyncio.sleep(0)
    return task


async def test_slot_offered_to_a_call_that_is_cancelled_in_the_same_turn_is_not_lost():
    """Guards against slots that fill up for good where waiting calls are often cancelled.

    A parent that fails cancels its other calls in the same turn in which an answer frees a slot.
    """
    gate = new_gate(1)
    first = await enter(gate, 1)
    waiting = await enter(gate, 2)
    assert (first.done(), waiting.done()) == (True, False)
    waiting.cancel()
    release_slot(gate.gate.slots, SERVICE_MS)
    gate.start_waiting()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert (gate.gate.slots.in_flight, gate.gate.slots.waiting) == (0, [])


async def test_slot_given_to_a_call_that_is_cancelled_afterwards_goes_to_the_next():
    gate = new_gate(1)
    await enter(gate, 1)
    waiting, next_one = await enter(gate, 2), await enter(gate, 3)
    release_slot(gate.gate.slots, SERVICE_MS)
    gate.start_waiting()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert await next_one is None
    assert gate.gate.slots.in_flight == 1
