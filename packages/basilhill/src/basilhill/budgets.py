"""Retry budgets of customer actions and of customers."""

from attrs import define, field


@define
class RetryBudget:
    """Count the retries that one call and its internal calls may still spend."""

    allotment: int
    spent: int = 0
    lent: int = 0

    @property
    def balance(self) -> int:
        """Return the retries neither spent nor lent."""
        return self.allotment - self.spent - self.lent


@define
class CustomerBucket:
    """Hold the permits of one customer."""

    permits: float
    refilled_ms: int


@define
class CustomerBuckets:
    """Limit how many repeated or unanswered calls each customer makes."""

    rate_per_s: float
    burst: int
    capacity: int
    buckets: dict[str, CustomerBucket] = field(factory=dict)
