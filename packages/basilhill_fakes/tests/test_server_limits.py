"""Tests of servers that name a limit or say that they leave, with whole nodes on loopback."""

import asyncio

import pytest
from basilhill.queries.slots import FIRST_CALLS
from basilhill_fakes.sidecar_fleet import SidecarFleet, SidecarVm, build_configuration, build_route

READS = build_route("r-read", "/read/", "calendar")
# The platform counts the requests of each span of this length.
WINDOW_S = 4.0
LIMIT_PER_S = 10.0


def allowed(limit_per_s: float) -> float:
    """Return how many requests a server may get within `WINDOW_S`, by the platform's rule."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def most_in_a_window(times_s: list[float]) -> int:
    """Return the largest number of times within `WINDOW_S`."""
    return max(
        (sum(start <= time < start + WINDOW_S for time in times_s) for start in times_s), default=0
    )


@pytest.fixture
async def fleet():
    async with SidecarFleet() as running:
        running.store.put("op/config", build_configuration(3, READS))
        for _ in range(2):
            await running.add_vm("calendar", slots=50)
        await running.wait_converged(3)
        yield running


async def send_for(
    fleet: SidecarFleet, origins: list[SidecarVm], for_s: float, per_s: float
) -> list:
    """Send requests to nodes in turn for a time; return the responses."""
    loop = asyncio.get_running_loop()
    end_s, tasks = loop.time() + for_s, []
    while loop.time() < end_s:
        vm = origins[len(tasks) % len(origins)]
        tasks.append(loop.create_task(fleet.send_attempt(vm, "/read/x")))
        fleet.tasks.append(tasks[-1])
        await asyncio.sleep(1 / per_s)
    return [await task for task in tasks]


@pytest.mark.parametrize("limit_per_s", [LIMIT_PER_S, 10 / 3])
async def test_servers_get_no_more_than_the_limits_that_they_name(fleet, limit_per_s):
    """Guard against a server in need that gets more requests than it says it can take."""
    servers = [vm.server for vm in fleet.vms]
    for server in servers:
        server.limits = (str(limit_per_s),)
    answers = await send_for(fleet, fleet.vms, 5.0, 100)
    for server in servers:
        assert most_in_a_window(server.arrived_s) <= allowed(limit_per_s)
        # The limit is used: refused requests did not reach a server.
        assert most_in_a_window(server.arrived_s) >= 0.8 * limit_per_s * WINDOW_S
    refused = [answer for answer in answers if answer.status == 503]
    assert refused and all(float(answer.headers["retry-after"]) > 0 for answer in refused)
    runs = [run for server in servers for run in server.runs.elements()]
    assert not {answer.attempt for answer in refused} & set(runs)


async def test_other_servers_take_what_is_beyond_a_limit(fleet):
    """Guard against requests refused at a limited server while another one has room."""
    limited, other = (vm.server for vm in fleet.vms)
    limited.limits = (str(LIMIT_PER_S),)
    answers = await send_for(fleet, fleet.vms, 4.5, 100)
    assert most_in_a_window(limited.arrived_s) <= allowed(LIMIT_PER_S)
    served = sum(answer.status == 200 for answer in answers)
    assert served >= 0.97 * len(answers)
    assert len(other.arrived_s) > 0.7 * len(answers)


async def test_limit_of_zero_ends_when_the_server_says_so(fleet):
    """Guard against a server that is never heard again after it named a limit of 0."""
    fleet.stop_node(fleet.vms[1])
    fleet.store.remove("servers/i-2")
    server = fleet.vms[0].server
    server.limits = ("0",)
    await send_for(fleet, fleet.vms[:1], 4.2, 50)
    assert most_in_a_window(server.arrived_s) <= allowed(0)
    server.limits = ()
    await send_for(fleet, fleet.vms[:1], 2.5, 20)
    answers = await send_for(fleet, fleet.vms[:1], 1.0, 50)
    assert all(answer.status == 200 for answer in answers)


async def test_restarted_node_learns_the_limit_before_it_sends_much(fleet):
    """Guard against a burst at a limited server after the node beside it restarted."""
    limited = fleet.vms[0]
    limited.server.limits = (str(LIMIT_PER_S),)
    limited.server.run_ms = 100
    await send_for(fleet, fleet.vms, 1.5, 100)
    fleet.stop_node(limited)
    await fleet.start_node(limited)
    await send_for(fleet, fleet.vms, 2.5, 100)
    assert most_in_a_window(limited.server.arrived_s) <= allowed(LIMIT_PER_S)


async def test_malformed_limit_does_not_restrict_a_server(fleet):
    """Guard against a node that treats a server as unheard because its limit is malformed."""
    server = fleet.vms[0].server
    server.limits, server.run_ms = ("unlimited",), 100
    assert (await fleet.send_attempt(fleet.vms[0], "/read/x")).status == 200
    fleet.stop_node(fleet.vms[1])
    fleet.store.remove("servers/i-2")
    await send_for(fleet, fleet.vms[:1], 0.5, 100)
    assert server.max_running > FIRST_CALLS


async def send_until_reached(fleet: SidecarFleet, origin: SidecarVm, reached: SidecarVm) -> int:
    """Send requests until one has reached a server; return how many have reached it."""
    async with asyncio.timeout(5):
        while not reached.server.arrived_s:
            assert (await fleet.send_attempt(origin, "/read/x")).status == 200
    return len(reached.server.arrived_s)


@pytest.mark.parametrize("restarted", [False, True])
async def test_server_that_says_it_leaves_gets_no_new_requests(fleet, restarted):
    """Guard against requests that reach a leaving server because the store does not list it so.

    The origin remembers the statement, also if the node beside the server has restarted.
    """
    leaving, origin = fleet.vms[0], await fleet.add_vm("shop")
    await fleet.wait_converged(3)
    leaving.server.says_leaving = True
    before = await send_until_reached(fleet, origin, leaving)
    if restarted:
        fleet.stop_node(leaving)
        await fleet.start_node(leaving)
    answers = await send_for(fleet, [origin], 1.0, 50)
    assert all(answer.status == 200 for answer in answers)
    assert len(leaving.server.arrived_s) == before


async def test_restarted_server_does_not_stay_marked_as_leaving(fleet):
    """Guard against a server that gets no requests after it left and started again."""
    restarted, origin = fleet.vms[0], await fleet.add_vm("shop")
    await fleet.wait_converged(3)
    restarted.server.says_leaving = True
    before = await send_until_reached(fleet, origin, restarted)
    restarted.server.says_leaving = False
    for vm in fleet.vms[:2]:
        vm.server.run_ms = 60
    fleet.register(restarted, born=2)
    await asyncio.sleep(0.5)
    await send_for(fleet, [origin], 0.5, 100)
    assert len(restarted.server.arrived_s) > before
