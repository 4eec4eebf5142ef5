"""A server that fails again and again gets no work for a while."""

import asyncio

from basilhill.commands.routing import EJECT_AFTER_FAILURES, EJECTION_JITTER, EJECTION_MS
from basilhill_fakes.history import EventKind
from basilhill_fakes.queries.histories import work_after_failures
from basilhill_fakes.scene import Scene, scenes

LOAD_S = 2.2
CALLS_PER_S = 50
# Calls that were on their way at the last failure still arrive in this time.
ON_THE_WAY_MS = 300
LEAST_EJECTION_MS = EJECTION_MS * (1 - EJECTION_JITTER)


async def send_through_failure(stage: Scene) -> None:
    """Send calls to slow servers, one of which fails each call at once."""
    failing, *sound = stage.executors
    for vm in sound:
        await stage.faults(vm, slow_factor=40)
    await stage.faults(failing, failing=True)
    await stage.send_steadily(CALLS_PER_S, LOAD_S)


def failing_runs(stage: Scene) -> int:
    failing = stage.executors[0].address
    events = stage.events()
    return sum(e.kind is EventKind.RUN_STARTED and e.place == failing for e in events)


def late_work(stage: Scene) -> list:
    span = (ON_THE_WAY_MS, LEAST_EJECTION_MS)
    return work_after_failures(stage.events(), EJECT_AFTER_FAILURES, *span)


async def test_server_that_fails_fast_gets_no_work_for_a_while(tmp_path):
    """Guards against a near server that attracts all work because its failures keep it free."""
    async with scenes(tmp_path, "ejection", executors=3) as (stage, broken):
        await asyncio.gather(send_through_failure(stage), send_through_failure(broken))
        assert stage.judge() == broken.judge() == []
        assert failing_runs(stage) >= EJECT_AFTER_FAILURES
        assert late_work(stage) == []
        assert len(late_work(broken)) > EJECT_AFTER_FAILURES
