"""Tests of request quotas with whole nodes over simulated time, in calm and in any order of faults.

Pattern of load: a workspace that wants several times its quota, from one node, from all or from
changing ones, while nodes are killed, frozen and cut off, and limits fall.
"""

import asyncio
from random import Random

import pytest
from basilhill.credits import CreditShare
from basilhill.outcomes import Reason, not_run
from basilhill.queries import credits
from basilhill.queries.credits import bucket_depth
from basilhill.workspaces import RequestQuota, Workspace
from basilhill_fakes.configuration_checks import run, toggle
from basilhill_fakes.quota_demand import (
    NAME,
    QuotaDemand,
    limited_tenant,
    new_opened_request,
)
from basilhill_fakes.simulated_fleet import SimulatedFleet
from basilhill_fakes.simulated_loop import HOST, SimulatedLoop
from basilhill_node.sidecar.commands import borrow_credits, keep_credits
from expression import Error
from hypothesis import given, settings
from hypothesis import strategies as st

VMS = "aaabbbcc"
WARM_S = 12.0
WALK_S = 30.0
LIMITS = ((4, 4), (40, 40), (120, 30), (20, 200))
FAULTS = ("restart", "restart", "half", "cut", "freeze", "leave", "join", "limit", "store")
FLOOD = 60


@pytest.fixture
def loop():
    simulated = SimulatedLoop()
    yield simulated
    simulated.close()


async def start_limited_fleet(
    loop: SimulatedLoop, seed: int, per_s: float, burst: float
) -> tuple[SimulatedFleet, QuotaDemand]:
    """Start a fleet with a limited workspace; return once its nodes are calm."""
    fleet = SimulatedFleet(loop, Random(seed))
    for data_centre in VMS:
        fleet.add_vm(data_centre)
    fleet.tenants = (limited_tenant(per_s, burst),)
    fleet.change_configuration()
    for vm in fleet.vms:
        await fleet.start(vm)
    await asyncio.sleep(WARM_S)
    return fleet, QuotaDemand(fleet, Random(seed))


async def disturb(
    fleet: SimulatedFleet,
    random: Random,
    per_s: float,
    burst: float,
    kinds: tuple[str, ...],
) -> None:
    """Inject random faults and changes of the limit until cancelled."""
    while True:
        await asyncio.sleep(random.expovariate(1 / 1.0))
        vm = random.choice(fleet.vms)
        step = random.choice(kinds)
        if step == "restart":
            fleet.kill(vm)
            await asyncio.sleep(random.uniform(0.0, 2.0))
            await fleet.start(vm)
        elif step == "half":
            killed = random.sample(fleet.vms, len(fleet.vms) // 2)
            for one in killed:
                fleet.kill(one)
            await asyncio.sleep(random.uniform(0.0, 1.0))
            for one in killed:
                await fleet.start(one)
        elif step == "cut":
            fleet.cut(vm)
            await asyncio.sleep(random.uniform(0.2, 3.0))
            fleet.reconnect(vm)
        elif step == "freeze":
            fleet.loop.pause(vm.address)
            await asyncio.sleep(random.uniform(0.2, 3.0))
            fleet.loop.resume(vm.address)
        elif step == "leave" and vm.server_id not in fleet.leaving:
            fleet.drain_server(vm)
        elif step == "join" and vm.server_id in fleet.leaving:
            fleet.start_server(vm)
        elif step == "limit":
            part = random.choice((0.25, 0.5, 1.0))
            fleet.tenants = (limited_tenant(per_s * part, burst * part),)
            fleet.change_configuration()
        elif step == "store":
            toggle(random.choice((fleet.access, vm.path)), random)


async def walk(
    loop: SimulatedLoop, seed: int, per_s: float, burst: float, kinds: tuple[str, ...]
) -> list[str]:
    """Return the violations of the quota under random faults and demand beyond the limit."""
    fleet, demand = await start_limited_fleet(loop, seed, per_s, burst)
    random = Random(f"{seed}/faults")
    faults = loop.create_task(disturb(fleet, random, per_s, burst, kinds))
    until_s = loop.time() + WALK_S
    while loop.time() < until_s:
        vms = random.sample(fleet.vms, random.choice((1, 3, len(fleet.vms))))
        demand.flood(random.choice((0, 0, FLOOD)))
        await demand.run(vms, per_s * random.choice((0.5, 1.5, 5.0)), random.uniform(1.0, 6.0))
    faults.cancel()
    await asyncio.gather(faults, return_exceptions=True)
    fleet.stop()
    assert len(demand.ran_s) > per_s
    return demand.violations()


def run_walk(seed: int, per_s: float, burst: float, kinds: tuple[str, ...] = FAULTS) -> list[str]:
    """Run a walk on a loop of its own and return the violations."""
    loop, found = SimulatedLoop(), []

    async def scenario() -> None:
        found.extend(await walk(loop, seed, per_s, burst, kinds))

    run(loop, scenario())
    loop.close()
    return found


def open_full_share(quota: RequestQuota, _since_ms: int, now_ms: int) -> CreditShare:
    return CreditShare(quota, bucket_depth(quota), now_ms)


@given(st.integers(0, 10**6), st.sampled_from(LIMITS))
@settings(max_examples=12, deadline=None, derandomize=True)
def test_quota_holds_in_any_order_of_faults(seed, limit):
    """Guard against requests beyond a quota among kills, freezes, cuts, joins and new limits."""
    assert run_walk(seed, *limit) == []


@pytest.mark.parametrize(
    ("module", "mechanism", "without", "limit", "kinds"),
    [
        # Origins may start any number of requests before a keeper acknowledges them.
        (borrow_credits, "trust_allowance", lambda *_inputs: 1_000, LIMITS[1], FAULTS),
        (borrow_credits, "take_trust", lambda *_inputs: True, LIMITS[1], FAULTS),
        # The keeper of each share lends the whole quota.
        (credits, "share_per_s", lambda quota: quota.per_s, LIMITS[1], FAULTS),
        # A node that has become a keeper lends a burst that others may have lent.
        (keep_credits, "open_share", open_full_share, LIMITS[3], ("half",)),
    ],
)
def test_walks_find_a_quota_without_its_mechanism(
    monkeypatch, module, mechanism, without, limit, kinds
):
    """Guard against walks that could not see a broken quota."""
    monkeypatch.setattr(module, mechanism, without)
    assert any(run_walk(seed, *limit, kinds) for seed in range(4))
    monkeypatch.undo()
    assert not any(run_walk(seed, *limit, kinds) for seed in range(4))


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("origins", ["one", "all", "moving"])
def test_most_of_the_quota_is_granted_in_calm_wherever_callers_sit(loop, origins, limit):
    """Guard against a quota of which most is refused because its callers sit at few nodes.

    The demand is a twentieth above the limit, so that bursts are used up.
    """

    async def scenario() -> None:
        fleet, demand = await start_limited_fleet(loop, 1, *limit)
        for number in range(6):
            vms = {"one": fleet.vms[:1], "all": fleet.vms, "moving": [fleet.vms[number]]}
            await demand.run(vms[origins], 1.05 * limit[0], 5.0)
        granted = min(1.05 * 30 * limit[0], demand.sent)
        assert len(demand.ran_s) >= 0.9 * min(granted, 30 * limit[0])
        assert demand.violations() == []
        fleet.stop()

    run(loop, scenario())


@pytest.mark.parametrize("origins", [1, 3, 8])
def test_requests_within_the_quota_do_not_wait_for_a_keeper(loop, origins):
    """Guard against a round trip before each request of a workspace that uses half of its quota."""

    async def scenario() -> None:
        fleet, demand = await start_limited_fleet(loop, 2, 40, 40)
        await demand.run(fleet.vms[:origins], 20, 20.0)
        waited = [one for one in demand.waited_ms if one > 0]
        assert demand.refused == 0
        assert len(waited) <= 0.1 * len(demand.waited_ms)
        fleet.stop()

    run(loop, scenario())


def test_refused_client_is_served_when_it_returns_at_the_time_it_was_told(loop):
    """Guard against a retry delay after which the workspace still has no credit."""

    async def scenario() -> None:
        fleet, demand = await start_limited_fleet(loop, 3, 4, 4)
        vm, waits = fleet.vms[0], []
        await demand.run([vm], 20, 5.0)
        for _ in range(5):
            HOST.set(vm.address)
            quota = RequestQuota(4, 4)
            for _ in range(10):
                now_ms = int(loop.time() * 1000)
                opened = new_opened_request(Workspace(NAME, quota=quota), now_ms)
                refusal = await vm.node.credits.admit(opened)
                if refusal is not None:
                    break
            assert refusal.reason is Reason.QUOTA_EXCEEDED
            waits.append(refusal.retry_after_ms)
            await asyncio.sleep(refusal.retry_after_ms / 1000)
            again = new_opened_request(Workspace(NAME, quota=quota), int(loop.time() * 1000))
            assert await vm.node.credits.admit(again) is None
        assert all(0 < wait_ms <= 1_500 for wait_ms in waits)
        fleet.stop()

    run(loop, scenario())


def test_credit_of_requests_that_did_not_run_is_used_by_the_next_ones(loop):
    """Guard against a workspace that pays for requests which servers refused."""

    async def scenario() -> None:
        fleet, _ = await start_limited_fleet(loop, 4, 4, 4)
        vm = fleet.vms[0]
        HOST.set(vm.address)
        for _ in range(100):
            now_ms = int(loop.time() * 1000)
            opened = new_opened_request(Workspace(NAME, quota=RequestQuota(4, 4)), now_ms)
            assert await vm.node.credits.admit(opened) is None
            vm.node.credits.give_back(opened, Error(not_run(Reason.OVERLOADED, "no slot")))
        fleet.stop()

    run(loop, scenario())
