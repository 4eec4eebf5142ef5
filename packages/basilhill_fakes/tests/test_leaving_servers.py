"""Tests of servers that leave while calls for them are on their way, with whole nodes."""

import asyncio

import pytest
from basilhill_fakes.sidecar_fleet import SidecarFleet, SidecarVm, build_configuration, build_route

# The long target latency lets calls wait for a slot for seconds.
WAITS = build_route("r-wait", "/wait/", "deposits", timeoutS=10, targetLatencyS=60)
# Time bound that the platform specifies from the notice to the last request.
DRAIN_BOUND_S = 2.0


@pytest.fixture
async def fleet():
    async with SidecarFleet() as running:
        running.store.put("op/config", build_configuration(3, WAITS))
        await running.add_vm("calendar")
        await running.add_vm("deposits", slots=1)
        await running.wait_converged(3)
        yield running


def send(fleet: SidecarFleet, path: str) -> asyncio.Task:
    """Start a request at the first node whose client waits for 10 s."""
    sending = fleet.send_attempt(fleet.vms[0], path, **{"Basilhill-Deadline-Ms": "10000"})
    task = asyncio.get_running_loop().create_task(sending)
    fleet.tasks.append(task)
    return task


def has_waiting_call(vm: SidecarVm) -> bool:
    """Whether a call waits for a slot of a server."""
    return bool(vm.node.state.executor.slots.waiting)


async def send_waiting_call(fleet: SidecarFleet, busy: SidecarVm) -> tuple[asyncio.Task, float]:
    """Send a request that waits for the only slot; return it and when the first one ends."""
    busy.server.run_ms = int(1000 * (DRAIN_BOUND_S + 1.0))
    send(fleet, "/wait/first")
    await fleet.wait_until(lambda: busy.server.running == 1)
    ends_s = asyncio.get_running_loop().time() + busy.server.run_ms / 1000
    waiting = send(fleet, "/wait/second")
    await fleet.wait_until(lambda: has_waiting_call(busy))
    return waiting, ends_s


async def test_call_that_waits_for_a_slot_is_not_sent_to_a_server_that_leaves_meanwhile(fleet):
    """Guard against a call that reaches a server after the bound because it was decided before."""
    busy = fleet.vms[1]
    waiting, ends_s = await send_waiting_call(fleet, busy)
    fleet.register(busy, state="draining", slots=1)
    answer = await waiting
    await asyncio.sleep(ends_s + 0.2 - asyncio.get_running_loop().time())
    assert busy.server.runs.total() == 1
    assert answer.status == 503 and busy.server.arrivals[answer.attempt] == 0


async def test_call_that_waits_at_a_leaving_server_runs_at_another_one(fleet):
    """Guard against calls that wait at a leaving server while another one has free slots."""
    busy = fleet.vms[1]
    waiting, _ends_s = await send_waiting_call(fleet, busy)
    other = await fleet.add_vm("deposits")
    await fleet.wait_converged(3)
    fleet.register(busy, state="draining", slots=1)
    answer = await waiting
    assert answer.status == 200 and other.server.runs[answer.attempt] == 1


async def test_call_that_waited_at_two_leaving_servers_runs_at_a_third_one(fleet):
    """Guard against refusals of calls whose servers leave one after another, as in a release."""
    leaving = [fleet.vms[1], await fleet.add_vm("deposits", slots=1)]
    await fleet.wait_converged(3)
    for vm in leaving:
        vm.server.run_ms = 8000
        send(fleet, f"/wait/{vm.server.server_id}")
    await fleet.wait_until(lambda: all(vm.server.running == 1 for vm in leaving))
    waiting = send(fleet, "/wait/waiting")
    await fleet.wait_until(lambda: any(has_waiting_call(vm) for vm in leaving))
    leaving.sort(key=has_waiting_call, reverse=True)
    fleet.register(leaving[0], state="draining", slots=1)
    await fleet.wait_until(lambda: has_waiting_call(leaving[1]))
    third = await fleet.add_vm("deposits")
    await fleet.wait_converged(3)
    fleet.register(leaving[1], state="draining", slots=1)
    answer = await waiting
    assert answer.status == 200 and third.server.runs[answer.attempt] == 1


@pytest.mark.parametrize("missing", ["version", "sequence", "born"])
async def test_malformed_entry_puts_no_leaving_server_in_use_again(fleet, missing):
    """Guard against an entry of another writer under the id of a server that drains."""
    leaving = fleet.vms[1]
    fleet.register(leaving, state="draining")
    entry = leaving.entry(state="ready")
    del entry[missing]
    fleet.store.put(f"servers/{leaving.server.server_id}", entry)
    await asyncio.sleep(1.0)
    answer = await send(fleet, "/wait/late")
    assert answer.status == 503 and not leaving.server.arrivals
