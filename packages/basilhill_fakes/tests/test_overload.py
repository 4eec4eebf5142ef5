"""Tests of overload and of a backend server crash with real processes."""

import asyncio
import time
from pathlib import Path

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import Event, EventKind, HistoryWriter, read_history
from basilhill_fakes.pacing import send_at_rate
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.workloads import WORKLOADS, find_fake_call

ROOT = Path(__file__).parents[3]
WORKLOAD = WORKLOADS["degustari"]
COUNTS = {"calendar": 1, "reservations": 1, "deposits": 1, "flavours": 1}
TRANSACTIONS_PER_S = 30
BROWSES_PER_S = 60
STORM_S = 6.0
PICK_MS = 200
# Scales the service time of the test server to PICK_MS, so that one server can sustain these rates.
USUAL_FACTOR = PICK_MS / find_fake_call(WORKLOAD, "flavours.pick").service_ms
SLOW_FACTOR = 4
# The admission level changes every 100 ms, so browsing that was admitted less than 100 ms apart
# from a refused transaction does not violate the order of classes.
LEVEL_INTERVAL_MS = 100


def new_caller(fleet: Fleet) -> Caller:
    history = HistoryWriter(fleet.history / "caller.jsonl")
    return Caller(WORKLOAD, fleet.topology, history, tries=1)


async def run_storm_load(fleet: Fleet, caller: Caller) -> tuple[float, list[dict]]:
    """Slow down the bottleneck for `STORM_S` under load.

    Return the end time in milliseconds and the statuses of the bottleneck's node in the 3 s after.
    """
    flavours = fleet.topology.servers_of("flavours")[0]
    faults = f"{flavours.backend_url}/test/faults"
    await fleet.put(faults, {"slow_factor": USUAL_FACTOR})
    await send_at_rate(caller.transact, 10, 1.0)
    await fleet.put(faults, {"slow_factor": USUAL_FACTOR * SLOW_FACTOR})
    await asyncio.gather(
        send_at_rate(caller.transact, TRANSACTIONS_PER_S, STORM_S),
        send_at_rate(caller.browse, BROWSES_PER_S, STORM_S),
    )
    await fleet.put(faults, {"slow_factor": USUAL_FACTOR})
    ended_ms = time.monotonic() * 1000
    statuses = []
    normal_load = asyncio.gather(
        send_at_rate(caller.transact, 20, 3.0), send_at_rate(caller.browse, 40, 3.0)
    )
    for _ in range(30):
        await asyncio.sleep(0.1)
        statuses.append(await fleet.get(f"{flavours.administration_url}/status"))
    await normal_load
    return ended_ms, statuses


async def run_storm(tmp_path: Path, disabled: tuple[str, ...] = ()):
    fleet = new_fleet(WORKLOAD, tmp_path, counts=COUNTS)
    fleet.settings["disabled_mechanisms"] = disabled
    caller = new_caller(fleet)
    try:
        await fleet.start((ROOT / WORKLOAD.document).read_text())
        ended_ms, statuses = await run_storm_load(fleet, caller)
    finally:
        await caller.session.close()
        await fleet.stop()
    return read_history(fleet.history), ended_ms, statuses


def find_inverted_refusals(history: list[Event]) -> list[Event]:
    """Return the transactions refused for overload close in time to several browses that ran."""
    browsing = [
        event.time_ms
        for event in history
        if event.kind is EventKind.RUN_STARTED and event.call == "calendar.slots"
    ]
    refused = [
        event
        for event in history
        if event.kind is EventKind.ANSWER_RECEIVED
        and event.call == WORKLOAD.transaction
        and event.reason == "overloaded"
    ]
    return [
        event
        for event in refused
        if sum(abs(event.time_ms - started_ms) < LEVEL_INTERVAL_MS for started_ms in browsing) > 1
    ]


def count_completed(history: list[Event], from_ms: float, to_ms: float, call: str) -> int:
    """Return the number of runs of a call that succeeded within a time range."""
    return sum(
        event.kind is EventKind.RUN_ENDED
        and event.call == call
        and event.status == 200
        and from_ms <= event.time_ms < to_ms
        for event in history
    )


async def test_storm_refuses_browsing_first_and_leaves_no_backlog(tmp_path):
    """Guard against refused bookings while browsing is admitted, and against slow recovery."""
    history, ended_ms, statuses = await run_storm(tmp_path)
    refused = [event for event in history if event.reason == "overloaded"]
    assert {event.call for event in refused} == {WORKLOAD.transaction, WORKLOAD.browse}
    assert find_inverted_refusals(history) == []
    assert [status["queued"] for status in statuses[4:]] == [0] * len(statuses[4:])
    storm_runs = count_completed(history, ended_ms - 4_000, ended_ms, "flavours.pick")
    possible = 4_000 / (PICK_MS * SLOW_FACTOR) * 10
    assert storm_runs >= 0.7 * possible
    recovered_runs = count_completed(
        history, ended_ms + 1_500, ended_ms + 3_000, WORKLOAD.transaction
    )
    assert recovered_runs >= 0.9 * 1.5 * 20


async def test_crashed_server_is_avoided_and_gets_work_after_its_restart(tmp_path):
    """Guard against work for a crashed backend server, and against its permanent exclusion."""
    fleet = new_fleet(WORKLOAD, tmp_path, counts=COUNTS | {"calendar": 2})
    caller = new_caller(fleet)
    down = fleet.topology.servers_of("calendar")[0]
    try:
        await fleet.start((ROOT / WORKLOAD.document).read_text())
        await send_at_rate(caller.browse, 40, 0.5)
        fleet.processes[f"backend-{down.address}"].kill()
        await fleet.wait_ended(f"backend-{down.address}")
        while_down = await send_at_rate(caller.browse, 40, 1.5)
        await fleet.start_backend(down)
        restarted_ms = time.monotonic() * 1000
        await send_at_rate(caller.browse, 40, 1.5)
    finally:
        await caller.session.close()
        await fleet.stop()
    assert [event.status for event in while_down] == [200] * len(while_down)
    runs = [
        event
        for event in read_history(fleet.history)
        if event.kind is EventKind.RUN_STARTED
        and event.place == down.address
        and event.time_ms > restarted_ms
    ]
    assert len(runs) >= 5
