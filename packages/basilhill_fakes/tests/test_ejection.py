"""Test of the ejection of a backend server that fails repeatedly."""

import asyncio

from basilhill.commands.routing import EJECT_AFTER_FAILURES, EJECTION_JITTER, EJECTION_MS
from basilhill_fakes.history import EventKind
from basilhill_fakes.queries.histories import work_after_failures
from basilhill_fakes.small_fleet import SmallFleet, paired_fleets

LOAD_S = 2.2
CALLS_PER_S = 50
# Calls that were already forwarded at the last failure arrive within this time.
FORWARDED_MS = 300
LEAST_EJECTION_MS = EJECTION_MS * (1 - EJECTION_JITTER)


async def send_through_failure(small: SmallFleet) -> None:
    """Send calls to slow servers and to one server that fails each call immediately."""
    failing, *healthy = small.executors
    for vm in healthy:
        await small.set_faults(vm, slow_factor=40)
    await small.set_faults(failing, failing=True)
    await small.send_steadily(CALLS_PER_S, LOAD_S)


def count_failing_runs(small: SmallFleet) -> int:
    failing = small.executors[0].address
    events = small.events()
    return sum(e.kind is EventKind.RUN_STARTED and e.place == failing for e in events)


def find_late_work(small: SmallFleet) -> list:
    span = (FORWARDED_MS, LEAST_EJECTION_MS)
    return work_after_failures(small.events(), EJECT_AFTER_FAILURES, *span)


async def test_server_that_fails_fast_is_ejected(tmp_path):
    """Guard against a nearby server that attracts all work because its failures free its slots."""
    async with paired_fleets(tmp_path, "ejection", executors=3) as (small, unprotected):
        await asyncio.gather(send_through_failure(small), send_through_failure(unprotected))
        assert small.find_violations() == unprotected.find_violations() == []
        assert count_failing_runs(small) >= EJECT_AFTER_FAILURES
        assert find_late_work(small) == []
        assert len(find_late_work(unprotected)) > EJECT_AFTER_FAILURES
