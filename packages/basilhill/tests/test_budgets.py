"""Tests of retry budgets and the permits of customers."""

from random import Random

from basilhill.budgets import CustomerBuckets, RetryBudget
from basilhill.commands.budgets import (
    acquire_permit,
    allocate_retries,
    return_permit,
    return_retries,
    spend_retry,
)
from basilhill.queries.budgets import allocatable_retries, used_retries
from hypothesis import given
from hypothesis import strategies as st


def run_call(random: Random, allotment: int, depth: int, retries_made: list[int]) -> int | None:
    """Run a call with random retries and internal calls; return the retries that its reply reports.

    The retries made are counted in `retries_made`. None stands for a lost reply.
    """
    budget = RetryBudget(allotment)
    while True:
        for _ in range(random.randint(0, 3) if depth else 0):
            allocation = allocatable_retries(budget)
            allocate_retries(budget, allocation)
            reported = run_call(random, allocation, depth - 1, retries_made)
            return_retries(budget, allocation, allocation if reported is None else reported)
        if random.random() < 0.3 or not spend_retry(budget):
            break
        retries_made[0] += 1
    return None if random.random() < 0.2 else used_retries(budget)


@given(st.integers(0, 20), st.integers(0, 4), st.randoms(use_true_random=False))
def test_retries_of_a_whole_tree_stay_within_the_budget(allotment, depth, random):
    retries_made = [0]
    reported = run_call(random, allotment, depth, retries_made)
    assert retries_made[0] <= allotment
    assert reported is None or retries_made[0] <= reported <= allotment


@given(st.lists(st.integers(0, 3), max_size=30), st.integers(0, 10))
def test_concurrent_allocations_never_exceed_the_budget(operations, allotment):
    budget, allocations = RetryBudget(allotment), []
    for operation in operations:
        if operation == 0:
            spend_retry(budget)
        elif operation == 1 and allocations:
            allocation = allocations.pop()
            return_retries(budget, allocation, allocation // 2)
        else:
            allocations.append(allocatable_retries(budget))
            allocate_retries(budget, allocations[-1])
        assert budget.balance >= 0
        assert used_retries(budget) <= allotment


def test_unanswered_actions_are_limited_by_the_bucket():
    buckets = CustomerBuckets(rate_per_s=20, burst=40, capacity=10)
    taken = sum(acquire_permit(buckets, "hasty", now_ms) for now_ms in range(1_000))
    assert taken <= 40 + 20


def test_answered_actions_are_not_limited():
    buckets = CustomerBuckets(rate_per_s=20, burst=40, capacity=10)
    for _ in range(1_000):
        assert acquire_permit(buckets, "usual", 0)
        return_permit(buckets, "usual")


def test_number_of_customer_buckets_is_limited():
    buckets = CustomerBuckets(rate_per_s=20, burst=40, capacity=10)
    for number in range(100):
        acquire_permit(buckets, str(number), 0)
    assert len(buckets.buckets) == 10
