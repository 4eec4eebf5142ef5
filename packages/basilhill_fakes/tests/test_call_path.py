"""Tests of the complete call path with real processes."""

import asyncio
from pathlib import Path

import pytest
from basilhill_fakes.caller import Caller
from basilhill_fakes.history import HistoryWriter, read_history
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.histories import double_runs, false_refusals, wrong_answers
from basilhill_fakes.workloads import WORKLOADS

ROOT = Path(__file__).parents[3]


@pytest.mark.parametrize("name", sorted(WORKLOADS))
async def test_concurrent_actions_complete_exactly_once(name, tmp_path):
    """Guard against failed, duplicated or mixed-up actions of a workload without faults."""
    workload = WORKLOADS[name]
    fleet = new_fleet(workload, tmp_path, counts=dict.fromkeys(workload.services, 1))
    caller = Caller(workload, fleet.topology, HistoryWriter(fleet.history / "caller.jsonl"))
    try:
        await fleet.start((ROOT / workload.document).read_text())
        # Ten concurrent transactions would occupy the ten slots of the bottleneck for longer than
        # the wait limit of a browse, which would then be refused correctly.
        events = []
        for _ in range(2):
            events += await asyncio.gather(
                *(caller.transact() for _ in range(5)), *(caller.browse() for _ in range(10))
            )
    finally:
        await caller.session.close()
        await fleet.stop()
    assert [event.status for event in events] == [200] * 30
    history = read_history(fleet.history)
    assert double_runs(history) + false_refusals(history) + wrong_answers(history) == []
