"""Test of the ramp-up of a backend server after a restart of its VM."""

import asyncio

from basilhill_fakes.history import now_ms
from basilhill_fakes.queries.fleets import peak_runs_in_flight
from basilhill_fakes.small_fleet import SLOW_FACTOR, SmallFleet, small_fleet
from basilhill_fakes.workloads import DEGUSTARI

CALLS_PER_S = 100
LOAD_S = 2.0
# A short delay between connection attempts, so that the origin detects the restart quickly.
RECONNECT = {"reconnect_ms": 40}
# Observed part of the ramp-up, which takes 10 s. The share of the server is at most a fifth then.
OBSERVED_MS = 1_200
SHARE = 0.2
SLOTS = DEGUSTARI.services["deposits"].slots


async def most_in_flight_after_restart(small: SmallFleet) -> int:
    """Restart the nearer of two servers; return the maximum runs in flight there afterwards."""
    restarted, other = small.executors
    await small.send_all(await small.issue_tokens(2))
    await small.restart(restarted)
    for vm in (restarted, other):
        await small.set_faults(vm, slow_factor=SLOW_FACTOR)
    restarted_ms = now_ms()
    await small.send_steadily(CALLS_PER_S, LOAD_S)
    assert small.find_violations() == []
    return peak_runs_in_flight(small.events(), restarted.address, restarted_ms, OBSERVED_MS)


async def test_restarted_server_gets_a_ramped_share(tmp_path):
    """Guard against full load on a cold server that its callers knew before the restart."""
    async with (
        small_fleet(tmp_path / "on", **RECONNECT) as small,
        small_fleet(tmp_path / "off", ramp_ms=1, **RECONNECT) as unramped,
    ):
        most, unramped_most = await asyncio.gather(
            most_in_flight_after_restart(small), most_in_flight_after_restart(unramped)
        )
    assert 0 < most <= SHARE * SLOTS
    assert unramped_most > SHARE * SLOTS
