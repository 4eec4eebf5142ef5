"""Test that two overlapping faults on a small fleet violate no invariant of single calls.

Guard against double runs, false refusals, wrong responses and excess retries that only occur when
faults overlap. Three fixed schedules run by default. SEED sets the first seed and EXAMPLES the
number of seeds instead. DISABLE lists node mechanisms to switch off.
"""

import os
from pathlib import Path

import pytest
from basilhill_fakes.faults import choose_fault_pair, inject_concurrently, send_load_during
from basilhill_fakes.history import read_history
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.evaluation import evaluate_history
from basilhill_fakes.workloads import DEGUSTARI

ROOT = Path(__file__).parents[3]
DOCUMENT = (ROOT / DEGUSTARI.document).read_text()
# These seeds choose crash and pause, crash and partition, and pause and partition of different
# nodes.
FIXED_SEEDS = (4, 5, 7)
FIRST_SEED = int(os.environ.get("SEED", "0"))
EXAMPLES = int(os.environ.get("EXAMPLES", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + EXAMPLES) if "SEED" in os.environ else FIXED_SEEDS
DISABLED = os.environ.get("DISABLE", "").split()
COUNTS = {"calendar": 2, "reservations": 2, "deposits": 2, "flavours": 2}
LOAD_S = 6.0
ACTIONS_PER_S = 20


@pytest.mark.parametrize("seed", SEEDS)
async def test_two_overlapping_faults_violate_no_invariant(tmp_path, seed):
    faults = choose_fault_pair(seed)
    print(f"seed {seed}: {faults}")
    fleet = new_fleet(DEGUSTARI, tmp_path, counts=COUNTS)
    fleet.settings["disabled_mechanisms"] = DISABLED
    try:
        await fleet.start(DOCUMENT)
        injection = inject_concurrently(fleet, faults)
        events = await send_load_during(fleet, injection, ACTIONS_PER_S, LOAD_S, seed)
    finally:
        await fleet.stop()
    assert any(event.status == 200 for event in events)
    evaluation = evaluate_history(read_history(fleet.history), DEGUSTARI, DOCUMENT)
    # The order of classes is an invariant under overload, which these schedules do not cause.
    violations = [v for v in evaluation.violations() if v.check != "class-inversion"]
    assert violations == []
