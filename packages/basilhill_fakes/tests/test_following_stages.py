"""Tests of the log lines and metrics that show how a node learns the changes of the store."""

import asyncio
from random import Random

import pytest
from basilhill_fakes.simulated_fleet import SimulatedFleet, SimulatedVm
from basilhill_fakes.simulated_loop import SimulatedLoop
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.queries.exposition import gauge_values
from basilhill_node.sidecar.state import STORE, FollowStage


@pytest.fixture
def loop():
    running = SimulatedLoop()
    asyncio.set_event_loop(running)
    yield running
    asyncio.set_event_loop(None)
    running.close()


@pytest.fixture
def stages(monkeypatch) -> dict[EventLog, list[dict]]:
    """Record the lines `stage` of each node."""
    found: dict[EventLog, list[dict]] = {}
    write = EventLog.write

    def record(self, part, event, request_id, inputs):
        if event == "stage":
            found.setdefault(self, []).append(inputs)
        write(self, part, event, request_id, inputs)

    monkeypatch.setattr(EventLog, "write", record)
    return found


async def start_fleet(loop: SimulatedLoop) -> tuple[SimulatedFleet, SimulatedVm, SimulatedVm]:
    """Return a fleet of one data centre with its reader of the store and a follower."""
    fleet = SimulatedFleet(loop, Random(1))
    for _ in range(4):
        fleet.add_vm("a")
    fleet.change_configuration()
    for vm in fleet.vms:
        await fleet.start(vm)
    await asyncio.sleep(20)
    (reader,) = (vm for vm in fleet.vms if vm.node.state.store.source == STORE)
    follower = next(vm for vm in fleet.vms if vm is not reader)
    return fleet, reader, follower


def test_lines_show_each_stage_after_the_end_of_a_feed(loop, stages):
    """Guard against an incident whose log does not show how a node learned of changes."""

    async def scenario() -> None:
        fleet, reader, follower = await start_fleet(loop)
        lines = stages[follower.node.state.log]
        known = len(lines)
        fleet.kill(reader)
        await asyncio.sleep(5)
        names = [line["stage"] for line in lines[known:]]
        assert names[:2] == [FollowStage.READING.value, FollowStage.ASKING.value]
        assert names[-1] in (FollowStage.FOLLOWING.value, FollowStage.WATCHING.value)
        asked = lines[known + 1]
        assert asked["host"] and asked["version"] == 1
        assert asked["revision"] == fleet.store.revision
        assert asked["verified_age_ms"] < 100
        fleet.stop()

    loop.run_until_complete(scenario())


def test_metrics_show_the_age_of_the_last_proof_and_the_revision(loop):
    """Guard against a node with an old state whose metrics look as if it were up to date."""

    async def scenario() -> None:
        fleet, reader, follower = await start_fleet(loop)
        for vm in (reader, follower):
            assert gauge_values(vm.node.state)["store_revision"] == fleet.store.revision
        fleet.access.silence()
        await asyncio.sleep(8)
        for vm in (reader, follower):
            assert gauge_values(vm.node.state)["store_verified_age_ms"] > 7_000
        fleet.access.restore()
        await asyncio.sleep(3)
        for vm in (reader, follower):
            assert gauge_values(vm.node.state)["store_verified_age_ms"] < 3_100
        fleet.stop()

    loop.run_until_complete(scenario())
