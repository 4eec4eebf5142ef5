"""Tests of draining, shutdown and suspended processes with real nodes under load.

BASILHILL_DISABLE lists mechanisms to switch off; without them the tests fail: drain,
leaving-notice, pause-check.
"""

import asyncio
import os
import signal
from pathlib import Path

import pytest
from basilhill_fakes.caller import Caller
from basilhill_fakes.history import EventKind, HistoryWriter, now_ms, read_history
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.histories import double_runs, false_refusals, wrong_answers
from basilhill_fakes.workloads import WORKLOADS

WORKLOAD = WORKLOADS["webshop"]
DOCUMENT = (Path(__file__).parents[3] / WORKLOAD.document).read_text()
COUNTS = {"catalogue": 0, "checkout": 1, "warehouse": 2, "ledger": 1}
NEW_WORK_MS = 3_000
CALL_GAP_S = 0.02
# A caller picks one of two servers at random; with fewer tries all may reach the leaving one.
TRIES = 20
DISABLED = os.environ.get("BASILHILL_DISABLE", "").split(",")


class LoadGenerator:
    """Load generator that starts probes at a fixed interval, and every fifth time a transaction."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.caller = Caller(
            WORKLOAD, fleet.topology, HistoryWriter(fleet.history / "caller.jsonl"), tries=TRIES
        )
        self.tasks = []
        self.stopped = False

    async def run(self, seconds):
        end_ms = now_ms() + seconds * 1000
        number = 0
        while now_ms() < end_ms and not self.stopped:
            name = WORKLOAD.transaction if number % 5 == 0 else WORKLOAD.probe
            self.tasks.append(asyncio.create_task(self.caller.perform(name)))
            number += 1
            await asyncio.sleep(CALL_GAP_S)
        return await asyncio.gather(*self.tasks)


@pytest.fixture
async def start(tmp_path):
    fleets = []

    async def start_fleet(disabled=(), **settings):
        settings["disabled_mechanisms"] = [*DISABLED, *disabled]
        fleet = new_fleet(WORKLOAD, tmp_path, counts=COUNTS, settings=settings)
        load = LoadGenerator(fleet)
        fleets.append((fleet, load))
        await fleet.start(DOCUMENT)
        return fleet, load, fleet.topology.servers_of("warehouse")[0]

    yield start_fleet
    for fleet, load in fleets:
        await load.caller.session.close()
        await fleet.stop()


def find_started_runs(history, vm, from_ms, to_ms=float("inf")):
    """Return the runs that a backend server started within a time range."""
    return [
        event
        for event in history
        if event.kind is EventKind.RUN_STARTED
        and event.place == vm.address
        and from_ms <= event.time_ms < to_ms
    ]


def find_violations(history):
    return double_runs(history) + false_refusals(history) + wrong_answers(history)


async def set_draining(fleet, vm, draining=True):
    await fleet.put(f"{vm.backend_url}/test/faults", {"draining": draining})


@pytest.mark.parametrize("disabled", [(), ("leaving-notice",)])
async def test_drained_server_gets_no_new_work_until_it_returns(start, disabled):
    """Guard against work for a draining server, also without its leaving notice.

    Also guards against a server that gets no work after the end of its drain.
    """
    fleet, load, vm = await start(disabled)
    running = asyncio.create_task(load.run(4.8 if disabled else 6.4))
    await asyncio.sleep(0.6)
    await set_draining(fleet, vm)
    drain_started_ms = now_ms()
    await asyncio.sleep(3.6)
    drain_ended_ms = now_ms()
    await set_draining(fleet, vm, False)
    events = await running
    history = read_history(fleet.history)
    assert find_started_runs(history, vm, drain_started_ms - 500, drain_started_ms)
    assert find_started_runs(history, vm, drain_started_ms + NEW_WORK_MS, drain_ended_ms) == []
    assert disabled or find_started_runs(history, vm, drain_ended_ms + 500)
    assert [event.status for event in events if event.status != 200] == []
    assert find_violations(history) == []


async def test_server_marked_leaving_in_the_fleet_list_gets_no_new_work(start):
    """Guard against work for a VM that the platform removes while its server reports live."""
    fleet, load, vm = await start(platform_poll_ms=500)
    await fleet.put(f"{vm.backend_url}/test/faults", {"lying_health": True})
    running = asyncio.create_task(load.run(4))
    await asyncio.sleep(0.5)
    await fleet.publish_fleet(frozenset({vm.address}))
    drain_started_ms = now_ms()
    events = await running
    history = read_history(fleet.history)
    assert find_started_runs(history, vm, drain_started_ms + NEW_WORK_MS) == []
    assert [event.status for event in events if event.status != 200] == []


async def test_sigterm_ends_a_node_with_status_0_and_completes_all_requests(start):
    """Guard against requests, internal calls or duplicates that a graceful shutdown aborts."""
    # With such rare heartbeats, only the leaving notice stops new work in time.
    fleet, load, vm = await start(heartbeat_ms=2_000, lease_ms=8_000)
    checkout = fleet.topology.servers_of("checkout")[0]
    running = asyncio.create_task(load.run(3))
    await asyncio.sleep(1)
    fleet.signal(f"node-{vm.address}", signal.SIGTERM)
    await asyncio.sleep(0.5)
    fleet.signal(f"node-{checkout.address}", signal.SIGTERM)
    assert await fleet.wait_ended(f"node-{vm.address}") == 0
    ended_ms = now_ms()
    assert await fleet.wait_ended(f"node-{checkout.address}") == 0
    load.stopped = True
    await running
    history = read_history(fleet.history)
    # A connection refused after the end (status 0) aborts no request; a broken response does.
    uncertain = [e for e in history if e.verdict == "may-have-run"]
    lost = [e for e in history if e.kind is EventKind.ANSWER_RECEIVED and e.status == 0]
    assert uncertain == []
    assert [e for e in lost if e.time_ms < ended_ms - 500] == []
    log = (fleet.directory / f"node-{vm.address}.log").read_text()
    assert log.count("the server is leaving") <= 1
    runs = [e.order for e in history if e.kind is EventKind.RUN_STARTED]
    ends = [e.order for e in history if e.kind is EventKind.RUN_ENDED]
    assert sorted(runs) == sorted(ends)
    assert find_violations(history) == []


async def test_resumed_node_refuses_expired_work_and_serves_again(start):
    """Guard against work that expired in the sockets of a suspended process but runs on resume."""
    fleet, load, vm = await start(lease_ms=3_000)
    name = f"node-{vm.address}"
    load.caller.timeout_ms = 2_000
    running = asyncio.create_task(load.run(5))
    await asyncio.sleep(1)
    fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(2.6)
    fleet.signal(name, signal.SIGCONT)
    resumed_ms = now_ms()
    await running
    history = read_history(fleet.history)
    sent = {e.order: e.time_ms for e in history if e.kind is EventKind.CALL_SENT}
    runs = find_started_runs(history, vm, resumed_ms)
    timeout_ms = load.caller.timeout_ms
    assert [e for e in runs if e.order in sent and e.time_ms - sent[e.order] > timeout_ms] == []
    assert find_started_runs(history, vm, resumed_ms + 500)
    assert find_violations(history) == []
    log = (fleet.directory / f"{name}.log").read_text()
    assert "resumed after a pause of" in log
