"""Test that random faults on a small fleet violate no invariant of single calls.

Guard against double runs, false refusals, wrong responses and excess retries that only occur when
faults coincide with repeated attempts. SEED selects other schedules, EXAMPLES their number, and
DISABLE lists node mechanisms to switch off.
"""

import os
from pathlib import Path

import pytest
from basilhill_fakes.faults import FAULT_TYPES, inject_in_sequence, send_load_during
from basilhill_fakes.history import read_history
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.evaluation import evaluate_history
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


@seed(SEED)
@settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(schedule=schedules())
async def test_random_faults_violate_no_invariant(fleet, schedule):
    print(f"seed {SEED}: {schedule}")
    injection = inject_in_sequence(fleet, list(schedule))
    events = await send_load_during(fleet, injection, ACTIONS_PER_S, LOAD_S, f"{SEED} {schedule}")
    assert any(event.status == 200 for event in events)
    evaluation = evaluate_history(
        read_history(fleet.history), DEGUSTARI, (ROOT / DEGUSTARI.document).read_text()
    )
    violations = [v for v in evaluation.violations() if v.check != "class-inversion"]
    assert violations == []
