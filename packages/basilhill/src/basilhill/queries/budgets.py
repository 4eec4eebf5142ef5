"""Read retry budgets."""

from basilhill.budgets import RetryBudget


def allocatable_retries(budget: RetryBudget) -> int:
    """Return the retries to allocate to the next internal call."""
    return max(0, budget.balance + 1) // 2


def used_retries(budget: RetryBudget) -> int:
    """Return the retries that a call has spent or allocated and not got back."""
    return budget.spent + budget.allocated


def may_retry(budget: RetryBudget) -> bool:
    """Return whether one more retry is within the budget."""
    return budget.balance > 0
