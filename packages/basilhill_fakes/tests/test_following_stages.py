"""Tests of the log lines and metrics that show how a node learns the changes of the store."""

import asyncio
from random import Random

import pytest
from basilhill_fakes.configuration_checks import run
from basilhill_fakes.sidecar_fleet import SidecarFleet, build_configuration, build_route
from basilhill_fakes.simulated_fleet import SimulatedFleet, SimulatedVm
from basilhill_fakes.simulated_loop import SimulatedLoop
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.queries.exposition import gauge_values
from basilhill_node.sidecar.state import STORE, FollowStage

READS = build_route("r-read", "/read/", "calendar")


@pytest.fixture
def lines(monkeypatch) -> dict[EventLog, list[dict]]:
    """Record the lines of each node, with part, event and inputs."""
    found: dict[EventLog, list[dict]] = {}
    write = EventLog.write

    def record(self, part, event, request_id, inputs):
        found.setdefault(self, []).append({"part": part, "event": event, **inputs})
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


def test_lines_show_each_stage_after_the_end_of_a_feed(loop, lines):
    """Guard against an incident whose log does not show how a node learned of changes."""

    async def scenario() -> None:
        fleet, reader, follower = await start_fleet(loop)
        known = len(lines[follower.node.state.log])
        fleet.kill(reader)
        await asyncio.sleep(5)
        written = lines[follower.node.state.log][known:]
        stages = [line for line in written if line["event"] == "stage"]
        names = [line["stage"] for line in stages]
        assert names[:2] == [FollowStage.READING.value, FollowStage.ASKING.value]
        assert names[-1] in (FollowStage.FOLLOWING.value, FollowStage.WATCHING.value)
        asked = stages[1]
        assert asked["host"] and asked["version"] == 1
        assert asked["revision"] == fleet.store.revision
        assert asked["verified_age_ms"] < 100
        fleet.stop()

    run(loop, scenario())


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

    run(loop, scenario())


async def test_line_of_a_request_has_the_version_by_which_it_was_routed(lines):
    """Guard against lines with the version at the end of a request, which did not route it."""
    async with SidecarFleet() as fleet:
        fleet.store.put("op/config", build_configuration(3, READS))
        vm = await fleet.add_vm("calendar")
        await fleet.wait_converged(3)
        log = vm.node.state.log
        vm.server.run_ms = 500
        sent = asyncio.create_task(fleet.send_attempt(vm, "/read/1"))
        await asyncio.sleep(0.2)
        fleet.store.put("op/config", build_configuration(4, READS))
        await fleet.wait_converged(4)
        assert not sent.done()
        assert (await sent).status == 200
        assert (await fleet.send_attempt(vm, "/unknown/1")).status == 404
    served = [line for line in lines[log] if line["part"] == "serve"]
    assert [line["version"] for line in served] == [3, 4]
    assert all(0 <= line["version_age_ms"] < 5_000 for line in served)
    assert all(0 <= line["verified_age_ms"] < 2_000 for line in served)
