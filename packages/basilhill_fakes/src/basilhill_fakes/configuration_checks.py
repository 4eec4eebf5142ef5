"""Checks of what the nodes of a simulated fleet know, and ways to disturb them."""

import asyncio
from bisect import bisect_right
from collections.abc import Coroutine
from random import Random

from basilhill.queries.backends import ready_entries

from basilhill_fakes.simulated_fleet import SimulatedFleet, SimulatedVm, StoreAccess
from basilhill_fakes.simulated_loop import SimulatedLoop

# Bounds of the strictest platform: a version is in force this long after its acknowledgement, at
# nodes that nothing has disturbed for `CONTACT_S`.
APPLY_S = 2.0
CONTACT_S = 3.0
CHECK_S = 0.05


def run(loop: SimulatedLoop, scenario: Coroutine) -> None:
    """Run a scenario, then end all tasks that are left."""
    try:
        loop.run_until_complete(scenario)
    finally:
        for host in tuple(loop.paused):
            loop.resume(host)
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))


async def start_fleet(loop: SimulatedLoop, seed: int, data_centres: str) -> SimulatedFleet:
    fleet = SimulatedFleet(loop, Random(seed))
    for data_centre in data_centres:
        fleet.add_vm(data_centre)
    fleet.change_configuration()
    for vm in fleet.vms:
        await fleet.start(vm)
    return fleet


def is_in_touch(fleet: SimulatedFleet, vm: SimulatedVm) -> bool:
    """Return whether the bounds hold for a VM now."""
    if vm.node is None:
        return False
    calm_since_s = max(vm.disturbed_s, fleet.store_disturbed_s)
    return fleet.loop.time() - calm_since_s >= CONTACT_S


def check_versions(fleet: SimulatedFleet, seen: dict[object, int]) -> None:
    """Fail if a VM in touch has an older version than it must have, or goes back to one."""
    now_s = fleet.loop.time()
    due = max((v for acked_s, v in fleet.acknowledged if acked_s <= now_s - APPLY_S), default=0)
    for vm in fleet.vms:
        if vm.node is None:
            continue
        version = vm.node.state.active_configuration.version
        before = seen.get(vm.node, 0)
        assert version >= before, f"{vm.address} went back at {now_s:.2f} s"
        if version > before:
            check_content(fleet, vm)
        seen[vm.node] = version
        if is_in_touch(fleet, vm):
            assert version >= due, f"{vm.address} has {version}, due is {due} at {now_s:.2f} s"
            used = ready_entries(vm.node.state.directory, "calendar")
            late = [one.server_id for one in used if is_due(fleet, vm, one.server_id, now_s)]
            assert not late, f"{vm.address} uses {late} at {now_s:.2f} s"
            missed = missed_entries(fleet, vm, now_s)
            assert not missed, f"{vm.address} does not know {missed} at {now_s:.2f} s"


def check_content(fleet: SimulatedFleet, vm: SimulatedVm) -> None:
    """Fail if the active configuration of a node is not that of its version."""
    active = vm.node.state.active_configuration
    data = fleet.contents[active.version]
    assert active.raw == data, f"{vm.address} has other bytes for {active.version}"
    decoded = vm.node.follower.updater.decoder.decode_configuration(data).ok
    assert active.configuration == decoded, f"{vm.address} has other routes in {active.version}"


def missed_entries(fleet: SimulatedFleet, vm: SimulatedVm, now_s: float) -> list[str]:
    """Return the servers whose entry a node must know by now and does not."""
    times = fleet.store.revision_times
    due = bisect_right(times, now_s - APPLY_S, key=lambda pair: pair[0])
    due_revision = times[due - 1][1] if due else 0
    items, entries = fleet.store.items, vm.node.state.directory.entries
    return [
        server_id
        for server_id in fleet.servers
        if (item := items.get(f"servers/{server_id}")) is not None
        # Servers that left and that only a copy of the store has stay out of use.
        and item["key"] not in fleet.store.expiring
        and item["revision"] <= due_revision
        and server_id not in entries
    ]


def is_due(fleet: SimulatedFleet, vm: SimulatedVm, server_id: str, now_s: float) -> bool:
    """Return whether a server must count as leaving by now at a node in touch.

    A node that started since knows only what the copy has from which the store came back.
    """
    key = f"servers/{server_id}"
    if key in fleet.store.expiring and vm.started_s >= fleet.expiring[key]:
        return False
    return fleet.leaving.get(server_id, now_s) <= now_s - APPLY_S


async def check_until(fleet: SimulatedFleet, end_s: float, seen: dict[object, int]) -> None:
    while fleet.loop.time() < end_s:
        await asyncio.sleep(CHECK_S)
        for vm in fleet.vms:
            if vm.path.is_disturbed or is_host_disturbed(fleet, vm.address):
                vm.disturbed_s = max(vm.disturbed_s, fleet.loop.time())
        if fleet.access.is_disturbed:
            fleet.store_disturbed_s = fleet.loop.time()
        check_versions(fleet, seen)


def is_host_disturbed(fleet: SimulatedFleet, host: str) -> bool:
    """Return whether a host is paused, slow or cut off."""
    loop = fleet.loop
    return host in loop.paused or host in loop.network.delays_s or host in cut_hosts(fleet)


def cut_hosts(fleet: SimulatedFleet) -> set[str]:
    """Return the hosts that are cut off from all others."""
    pairs = fleet.loop.network.cut
    hosts = {host for pair in pairs for host in pair}
    return {host for host in hosts if sum(host in pair for pair in pairs) == len(fleet.vms) - 1}


def toggle(access: StoreAccess, random: Random) -> None:
    """End an outage, or begin one of a random kind."""
    if access.silent or access.refused:
        access.restore()
    elif random.random() < 0.7:
        access.silence()
    else:
        access.refused = True


def leave_or_replace(fleet: SimulatedFleet, vm: SimulatedVm, random: Random) -> None:
    """Replace the server of a VM that leaves, or let it leave with or without notice."""
    if vm.server_id in fleet.leaving:
        fleet.start_server(vm)
    elif random.random() < 0.5:
        fleet.remove_server(vm)
    else:
        fleet.drain_server(vm)


async def kill_or_start(fleet: SimulatedFleet, vm: SimulatedVm) -> None:
    """Kill the node of a VM, or start it if it was killed."""
    if vm.node is None:
        await fleet.start(vm)
    else:
        fleet.kill(vm)
