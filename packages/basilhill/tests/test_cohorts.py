"""Tests of the cohorts assigned to actions."""

from basilhill.calls import CallMetadata
from basilhill.queries.cohorts import COHORT_PERIOD_MS, assign_cohort

CUSTOMERS = [CallMetadata(f"customer-{number}", named_customer=True) for number in range(500)]
START_MS = 1_000 * COHORT_PERIOD_MS
STEPS = 120


def changed(from_ms: int, to_ms: int) -> int:
    """Return the number of customers whose cohort differs between two times."""
    return sum(
        assign_cohort(customer, "first", from_ms) != assign_cohort(customer, "second", to_ms)
        for customer in CUSTOMERS
    )


def test_customer_keeps_a_cohort_for_a_period_across_actions():
    """Guard against refused actions that pass the level when repeated in another cohort."""
    assert changed(START_MS, START_MS) == 0
    assert changed(START_MS, START_MS + COHORT_PERIOD_MS) >= 480


def test_customers_change_cohorts_at_different_times():
    """Guard against a burst when all refused customers change their cohort in the same second."""
    step_ms = COHORT_PERIOD_MS // STEPS
    times_ms = range(START_MS, START_MS + COHORT_PERIOD_MS, step_ms)
    assert all(changed(time_ms, time_ms + step_ms) <= 20 for time_ms in times_ms)


def test_actions_without_a_named_customer_are_spread_over_cohorts():
    """Guard against one cohort for all customers behind one address."""
    metadata = CallMetadata("127.0.0.1")
    assert len({assign_cohort(metadata, f"action-{n}", START_MS) for n in range(200)}) > 50
