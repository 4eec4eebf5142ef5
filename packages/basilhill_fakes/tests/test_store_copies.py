"""Tests of whole fleets whose store comes back from a copy of itself that is some seconds old."""

import asyncio
from random import Random

import pytest
from basilhill.queries.backends import ready_entries
from basilhill_fakes.configuration_checks import (
    check_until,
    cut_hosts,
    kill_or_start,
    leave_or_replace,
    run,
    start_fleet,
    toggle,
)
from basilhill_fakes.sidecar_fleet import SidecarFleet, build_configuration
from basilhill_fakes.simulated_fleet import READS, SimulatedFleet, SimulatedStore
from basilhill_fakes.simulated_loop import SimulatedLoop

RUN_S = 60.0
VMS = 6
SEEDS = range(24)
STEPS = ("change", "change", "change", "copy", "copy", "leave", "leave", "restart", "path", "cut")
# Time after which nodes that nothing else disturbs know the state of the store again.
SETTLED_S = 12.0


def copy_and_restore(fleet: SimulatedFleet, age_s: float, away_s: float, random: Random) -> None:
    """Let the store come back from a copy of now after `age_s`, away for `away_s` before."""
    copy = fleet.store.copy()

    async def restore() -> None:
        await asyncio.sleep(age_s)
        await fleet.restore_store(copy, away_s, random)

    fleet.loop.create_task(restore())


async def walk(fleet: SimulatedFleet, seed: int) -> None:
    """Take random steps until `RUN_S`, and check all the while."""
    random, seen = Random(seed), {}
    while fleet.loop.time() < RUN_S:
        await check_until(fleet, fleet.loop.time() + random.expovariate(1 / 1.2), seen)
        vm, step = random.choice(fleet.vms), random.choice(STEPS)
        if step == "change":
            fleet.change_configuration()
        elif step == "copy":
            away_s = random.choice((0.0, random.uniform(0.0, 0.2), random.uniform(0.2, 2.0)))
            copy_and_restore(fleet, random.uniform(0.0, 8.0), away_s, random)
        elif step == "leave":
            leave_or_replace(fleet, vm, random)
        elif step == "restart":
            await kill_or_start(fleet, vm)
        elif step == "path":
            toggle(vm.path, random)
        elif vm.address in cut_hosts(fleet):
            fleet.reconnect(vm)
        else:
            fleet.cut(vm)
    fleet.stop()


@pytest.mark.parametrize("data_centres", ["a" * VMS, "aaabbc"])
@pytest.mark.parametrize("seed", SEEDS)
def test_versions_are_in_force_after_a_store_came_back_from_a_copy(loop, seed, data_centres):
    """Guard against nodes that follow no store whose revisions went back.

    All nodes once refused its reads as stale, and kept the old version until the new revisions had
    passed the old ones.
    """

    async def scenario() -> None:
        await walk(await start_fleet(loop, seed, data_centres), seed)

    run(loop, scenario())


async def start_calm_fleet(loop: SimulatedLoop) -> SimulatedFleet:
    """Return a fleet of one data centre in which one node reads the store."""
    fleet = await start_fleet(loop, 1, "a" * VMS)
    await asyncio.sleep(20.0)
    return fleet


def listed(fleet: SimulatedFleet) -> list[set[str]]:
    """Return the servers that each node uses."""
    return [
        {entry.server_id for entry in ready_entries(vm.node.state.directory, "calendar")}
        for vm in fleet.vms
    ]


@pytest.mark.parametrize("away_s", [0.0, 1.0])
@pytest.mark.parametrize("notice", ["draining", "removed"])
def test_server_that_left_stays_out_of_use(loop, notice, away_s):
    """Guard against a server in use again because a copy lists it as it was before it left."""

    async def scenario() -> None:
        fleet = await start_calm_fleet(loop)
        copy, gone = fleet.store.copy(), fleet.vms[3]
        if notice == "draining":
            fleet.drain_server(gone)
        else:
            fleet.remove_server(gone)
        await asyncio.sleep(3.0)
        loop.create_task(fleet.restore_store(copy, away_s, Random(1)))
        while loop.time() < 20.0 + 3.0 + SETTLED_S:
            await asyncio.sleep(0.1)
            assert all(gone.server_id not in used for used in listed(fleet))
        assert all(len(used) == VMS - 1 for used in listed(fleet))

    run(loop, scenario())


def test_servers_that_a_copy_lacks_stay_in_use_until_they_are_written_again(loop):
    """Guard against refusals because a copy does not have a server yet that serves all the while.

    One that is not written again is removed.
    """

    async def scenario() -> None:
        fleet = await start_calm_fleet(loop)
        copy = fleet.store.copy()
        for vm in fleet.vms:
            fleet.remove_server(vm)
            fleet.start_server(vm)
        await asyncio.sleep(3.0)
        dead = fleet.vms[2].server_id
        loop.create_task(fleet.restore_store(copy, 0.5, Random(1)))
        await asyncio.sleep(0.6)
        fleet.store.lost.pop(f"servers/{dead}")
        living = {vm.server_id for vm in fleet.vms} - {dead}
        while loop.time() < 23.0 + SETTLED_S:
            assert all(living <= used for used in listed(fleet))
            await asyncio.sleep(0.1)
        assert all(living == used for used in listed(fleet))

    run(loop, scenario())


def test_live_server_whose_entry_had_expired_is_used_again(loop):
    """Guard against a live server that stays out of use because it was removed before the copy."""

    async def scenario() -> None:
        fleet = await start_calm_fleet(loop)
        copy, vm = fleet.store.copy(), fleet.vms[3]
        fleet.store.remove(f"servers/{vm.server_id}")
        await asyncio.sleep(3.0)
        # The server writes its entry, which changes in no field but its sequence: no event.
        fleet.store.restore(copy)
        fleet.store.expiring.clear()
        await asyncio.sleep(SETTLED_S)
        assert all(vm.server_id in used for used in listed(fleet))

    run(loop, scenario())


def test_few_nodes_read_a_store_that_came_back_from_a_copy(loop, monkeypatch):
    """Guard against a whole fleet that reads the store at once when a new era begins."""
    reads = []
    read_items = SimulatedStore.read_items

    async def count(self, after: str):
        reads.append(loop.time())
        return await read_items(self, after)

    async def scenario() -> None:
        fleet = await start_calm_fleet(loop)
        copy = fleet.store.copy()
        fleet.change_configuration()
        await asyncio.sleep(3.0)
        monkeypatch.setattr(SimulatedStore, "read_items", count)
        loop.create_task(fleet.restore_store(copy, 0.0, Random(1)))
        await asyncio.sleep(SETTLED_S)
        fleet.change_configuration()
        await asyncio.sleep(2.0)
        versions = {vm.node.state.active_configuration.version for vm in fleet.vms}
        assert versions == {fleet.version}
        assert {vm.node.state.store.position.era for vm in fleet.vms} == {fleet.store.era}
        assert 0 < len(reads) <= 2

    run(loop, scenario())


@pytest.mark.parametrize("text", ["", "x", "-1", "9" * 40])
async def test_nodes_go_on_by_revisions_where_the_era_cannot_be_read(text):
    """Guard against nodes that follow the store no longer because of one malformed header."""
    async with SidecarFleet() as fleet:
        fleet.store.put("op/config", build_configuration(1, READS))
        for _ in range(2):
            await fleet.add_vm("calendar")
        await fleet.wait_converged(1)
        fleet.store.stated_era = text
        for version in (2, 3):
            fleet.store.put("op/config", build_configuration(version, READS))
            await fleet.wait_converged(version)
        assert {vm.node.state.store.position.era for vm in fleet.vms} == {1}
        fleet.store.stated_era = None
        fleet.store.restore(fleet.store.copy())
        fleet.store.put("op/config", build_configuration(4, READS))
        await fleet.wait_converged(4)
        assert {vm.node.state.store.position.era for vm in fleet.vms} == {2}
