"""Read retry budgets."""

from basilhill.budgets import RetryBudget


def lendable_retries(budget: RetryBudget) -> int:
    """Return how many retries the next internal call may get."""
    return max(0, budget.balance + 1) // 2


def used_retries(budget: RetryBudget) -> int:
    """Return the retries that a call has spent or lent and not got back."""
    return budget.spent + budget.lent


def may_retry(budget: RetryBudget) -> bool:
    """Tell whether one more retry is within the budget."""
    return budget.balance > 0
