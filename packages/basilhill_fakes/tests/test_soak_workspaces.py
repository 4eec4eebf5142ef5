"""Test of a short fault soak with API keys that rotate and quotas that change."""

from pathlib import Path

from basilhill_fakes.soak import run_soak
from basilhill_fakes.soak_plans import PLANS

WORKSPACES_SEED = 1
WORKSPACES_SECONDS = 8.0


async def test_keys_and_quotas_hold_among_faults_and_changes(tmp_path: Path):
    """Guard against withdrawn keys, wrong workspaces and quotas that nodes grant by themselves.

    The same seed fails on 51b1a2d, which knows no workspaces.
    """
    result = await run_soak(WORKSPACES_SEED, WORKSPACES_SECONDS, tmp_path, PLANS["workspaces"])
    assert result.violations == []
    statuses = {attempt.status for attempt in result.history.attempts}
    assert {200, 401, 429} <= statuses
