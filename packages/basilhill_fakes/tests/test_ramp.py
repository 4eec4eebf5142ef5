"""A server whose VM restarted is cold and gets a ramped share of the work."""

import asyncio

from basilhill_fakes.history import now_ms
from basilhill_fakes.queries.fleets import runs_in_flight
from basilhill_fakes.small_fleet import SLOW, SmallFleet, small_fleet
from basilhill_fakes.workloads import DEGUSTARI

CALLS_PER_S = 100
LOAD_S = 2.0
# A short wait between connection attempts, so that the front notices the restart at once.
RECONNECT = {"reconnect_ms": 40}
# Of the ramp of 10 s; the share of a server that is known for so long is at most a fifth.
OBSERVED_MS = 1_200
SHARE = 0.2
SLOTS = DEGUSTARI.services["deposits"].slots


async def most_in_flight_after_restart(small: SmallFleet) -> int:
    """Restart the near one of two servers; return the most runs in flight there soon after."""
    restarted, other = small.executors
    await small.send_all(await small.tokens(2))
    await small.restart(restarted)
    for vm in (restarted, other):
        await small.faults(vm, slow_factor=SLOW)
    restarted_ms = now_ms()
    await small.send_steadily(CALLS_PER_S, LOAD_S)
    assert small.judge() == []
    return runs_in_flight(small.events(), restarted.address, restarted_ms, OBSERVED_MS)


async def test_restarted_server_gets_a_ramped_share(tmp_path):
    """Guards against full load on a cold server, which its callers knew before the restart."""
    async with (
        small_fleet(tmp_path / "on", **RECONNECT) as small,
        small_fleet(tmp_path / "off", ramp_ms=1, **RECONNECT) as unramped,
    ):
        most, unramped_most = await asyncio.gather(
            most_in_flight_after_restart(small), most_in_flight_after_restart(unramped)
        )
    assert 0 < most <= SHARE * SLOTS
    assert unramped_most > SHARE * SLOTS
