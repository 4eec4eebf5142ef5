"""Retry budgets of customer actions and of customers."""

from attrs import define, field


@define
class RetryBudget:
    """Retries that one call and its internal calls may spend."""

    allotment: int
    spent: int = 0
    allocated: int = 0

    @property
    def balance(self) -> int:
        """Return the retries that are neither spent nor allocated to an internal call."""
        return self.allotment - self.spent - self.allocated


@define
class CustomerBucket:
    """Bucket with the permits of one customer."""

    permits: float
    refilled_ms: int


@define
class CustomerBuckets:
    """Buckets that limit the rate of repeated or unanswered calls of each customer."""

    rate_per_s: float
    burst: int
    capacity: int
    buckets: dict[str, CustomerBucket] = field(factory=dict)
