"""Tests of how the first node of an action places it."""

from basilhill.calls import Arrival, cohort_of
from basilhill_node.commands.serve_call import COHORT_PERIOD_S, cohort_name

STEP_S = 0.5


def test_customer_keeps_a_cohort_whatever_the_action():
    """Guards against repeats of refused actions that pass the level by chance."""
    arrival = Arrival("ana", named_customer=True)
    assert cohort_name(arrival, "first", 1_000.0) == cohort_name(arrival, "second", 1_000.0)
    assert cohort_name(arrival, "first", 1_000.0) != cohort_name(
        arrival, "first", 1_000.0 + COHORT_PERIOD_S
    )


def test_customers_change_cohorts_at_different_times():
    """Guards against all refused customers coming back in the same second."""
    arrivals = [Arrival(f"customer-{number}", named_customer=True) for number in range(500)]
    start_s = 1_000 * COHORT_PERIOD_S
    for step in range(int(COHORT_PERIOD_S / STEP_S)):
        before_s, after_s = start_s + step * STEP_S, start_s + (step + 1) * STEP_S
        changed = sum(
            cohort_name(arrival, "", before_s) != cohort_name(arrival, "", after_s)
            for arrival in arrivals
        )
        assert changed <= 20


def test_callers_that_name_no_customer_are_spread_over_cohorts():
    """Guards against treating all customers behind one address alike."""
    arrival = Arrival("127.0.0.1")
    cohorts = {cohort_of(cohort_name(arrival, f"action-{n}", 1_000.0)) for n in range(200)}
    assert len(cohorts) > 50
