"""Tests of the fair division of what a level admits between workspaces."""

from random import Random

import pytest
from basilhill.commands.fair_shares import fair_chance, record_utilisation
from basilhill.fair_shares import UtilisationSample
from basilhill.queries.fair_shares import admission_chance, solve_threshold
from hypothesis import given
from hypothesis import strategies as st


def admitted_rates(
    quotas: dict[str, float], used: dict[str, float], share: float
) -> dict[str, float]:
    """Return the requests per second admitted by workspace, from a sample of 2,000 requests."""
    random, names = Random(1), list(quotas)
    demand = [quotas[name] * used[name] for name in names]
    arrivals = random.choices(names, demand, k=2_000)
    threshold = solve_threshold([used[name] for name in arrivals], share)
    return {
        name: quotas[name] * used[name] * admission_chance(threshold, used[name]).chance
        for name in names
    }


def test_hot_workspace_within_its_quota_gets_no_more_than_its_share():
    """Guard against equal chances for all, with which others pay for the hot one.

    Room for 80 of 110 requests: with equal chances, each small workspace would lose 27%.
    """
    quotas = {"hot": 60.0} | {f"small-{n}": 10.0 for n in range(10)}
    used = dict.fromkeys(quotas, 0.5) | {"hot": 1.0}
    rates = admitted_rates(quotas, used, 80 / 110)
    assert sum(rates.values()) == pytest.approx(80, rel=0.05)
    assert all(rates[f"small-{n}"] == pytest.approx(5.0, rel=0.1) for n in range(10))
    assert rates["hot"] == pytest.approx(30, rel=0.1)


def test_demand_beyond_the_quota_takes_no_room_from_others():
    """Guard against a workspace that gets a larger share the more it asks beyond its quota."""
    quotas = {"hot": 50.0, "other": 50.0}
    rates = admitted_rates(quotas, {"hot": 8.0, "other": 1.0}, 0.5)
    assert rates["hot"] == pytest.approx(rates["other"], rel=0.1)
    assert sum(rates.values()) == pytest.approx(50, rel=0.1)


def test_workspaces_with_the_same_use_have_the_same_chance():
    assert solve_threshold([0.6] * 20, 0.5) == pytest.approx(0.3)
    found = admission_chance(0.3, 0.6)
    assert (found.chance, found.share) == (0.5, 0.5)


def test_full_room_and_small_samples_change_nothing():
    sample = UtilisationSample()
    for used in (0.1, 1.0, 7.0):
        record_utilisation(sample, used)
    for share in (0.0, 0.4, 1.0):
        assert fair_chance(sample, 7.0, share, 0).chance == share


@given(
    st.lists(st.floats(0.05, 20.0), min_size=1, max_size=60),
    st.floats(0.01, 0.99),
)
def test_threshold_admits_the_share_of_what_may_run(used, share):
    """Guard against an over-admission or an unused part of the room for any mix of demands."""
    threshold = solve_threshold(used, share)
    wanted = sum(min(1.0, 1 / one) for one in used)
    admitted = sum(min(1.0, 1 / one) * admission_chance(threshold, one).share for one in used)
    assert admitted == pytest.approx(share * wanted, rel=1e-6)
