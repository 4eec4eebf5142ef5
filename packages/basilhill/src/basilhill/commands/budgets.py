"""Update retry budgets and customer permits."""

from basilhill.budgets import CustomerBucket, CustomerBuckets, RetryBudget


def spend_retry(budget: RetryBudget) -> bool:
    """Spend one retry; return whether the budget had one."""
    if budget.balance < 1:
        return False
    budget.spent += 1
    return True


def allocate_retries(budget: RetryBudget, amount: int) -> None:
    """Allocate retries to an internal call."""
    budget.allocated += amount


def return_retries(budget: RetryBudget, amount: int, spent: int) -> None:
    """Return the retries that an internal call was allocated and did not spend."""
    budget.allocated -= amount
    budget.spent += min(spent, amount)


def acquire_permit(buckets: CustomerBuckets, customer: str, now_ms: int) -> bool:
    """Acquire one permit of a customer; return whether one was available."""
    bucket = buckets.buckets.pop(customer, None)
    if bucket is None:
        bucket = CustomerBucket(buckets.burst, now_ms)
    refill = (now_ms - bucket.refilled_ms) * buckets.rate_per_s / 1000
    bucket.permits = min(buckets.burst, bucket.permits + refill)
    bucket.refilled_ms = now_ms
    buckets.buckets[customer] = bucket
    if len(buckets.buckets) > buckets.capacity:
        # The least recently used bucket comes first and has the most permits.
        del buckets.buckets[next(iter(buckets.buckets))]
    if bucket.permits < 1:
        return False
    bucket.permits -= 1
    return True


def return_permit(buckets: CustomerBuckets, customer: str) -> None:
    """Release the permit of a call that got a response."""
    bucket = buckets.buckets.get(customer)
    if bucket is not None:
        bucket.permits = min(buckets.burst, bucket.permits + 1)
