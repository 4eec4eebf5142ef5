"""Random faults on a small fleet break no promise about single calls.

Guards against double runs, false refusals, wrong answers and excess retries that only show when
faults and copies of calls meet. SEED chooses other schedules,
EXAMPLES how many, DISABLE
mechanisms of the nodes to switch off.
"""

import asyncio
import os
from pathlib import Path

import pytest
from basilhill_fakes.caller import Caller
from basilhill_fakes.faults import FAULT_TYPES, bring_about_all
from basilhill_fakes.history import HistoryWriter, read_history
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.judgement import judge
from basilhill_fakes.workloads import DEGUSTARI
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

ROOT = Path(__file__).parents[3]
SEED = int(os.environ.get("SEED", "1"))
COUNTS = {"calendar": 2, "reservations": 2, "deposits": 1, "flavours": 2}
EXAMPLES = int(os.environ.get("EXAMPLES", "2"))
LOAD_S = 4.0
ACTIONS_PER_S = 12


@pytest.fixture
async def fleet(tmp_path):
    fleet = new_fleet(DEGUSTARI, tmp_path, counts=COUNTS)
    fleet.settings["disabled_mechanisms"] = os.environ.get("DISABLE", "").split()
    try:
        await fleet.start((ROOT / DEGUSTARI.document).read_text())
        yield fleet
    finally:
        await fleet.stop()


def schedules():
    times = {"at_s": st.floats(0, 2), "duration_s": st.floats(0.2, 1.5)}
    faults = [st.builds(kind, target=st.integers(0, 99), **times) for kind in FAULT_TYPES]
    return st.lists(st.one_of(faults), min_size=1, max_size=2)


async def send_actions(caller):
    actions = []
    for number in range(int(LOAD_S * ACTIONS_PER_S)):
        action = caller.transact if number % 2 else caller.browse
        actions.append(asyncio.create_task(action()))
        await asyncio.sleep(1 / ACTIONS_PER_S)
    return await asyncio.gather(*actions)


@seed(SEED)
@settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(schedule=schedules())
async def test_random_faults_break_no_promise(fleet, schedule):
    print(f"seed {SEED}: {schedule}")
    history = HistoryWriter(fleet.history / "caller.jsonl")
    caller = Caller(DEGUSTARI, fleet.topology, history, timeout_ms=2000, patience_ms=500)
    caller.random.seed(f"{SEED} {schedule}")
    try:
        events, _ = await asyncio.gather(
            send_actions(caller), bring_about_all(fleet, list(schedule))
        )
        await asyncio.gather(*caller.copies)
    finally:
        await caller.session.close()
    assert any(event.status == 200 for event in events)
    verdict = judge(read_history(fleet.history), DEGUSTARI, (ROOT / DEGUSTARI.document).read_text())
    broken = [v for v in verdict.violations() if v.check != "class-inversion"]
    assert broken == []
