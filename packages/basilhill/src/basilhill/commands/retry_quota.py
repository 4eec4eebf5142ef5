"""Spend the retries that a node may send to a service."""

from collections import deque

from basilhill.commands.levels import count_work, update_level
from basilhill.retry_quota import RetryQuota

# Weight of the newest call in the refusal rate, which covers about 30 calls.
REFUSAL_WEIGHT = 0.03
# Below this refusal rate the expected retries are fewer than any quota allows.
MIN_REFUSAL_RATE = 0.1
# Upper bound of the refusal rate, which limits the expected retries of a call to 9.
MAX_REFUSAL_RATE = 0.9
# Same interval as for the admission levels of servers.
ADJUST_INTERVAL_MS = 100
# Fraction of the window over which the remaining quota is spread; new requests add to the quota
# in the meantime.
SPEND_FRACTION = 0.5


def count_request(quota: RetryQuota, now_ms: int) -> None:
    quota.requests.append(now_ms)
    drop_old(quota.requests, now_ms - quota.window_ms)


def spend_retry_quota(quota: RetryQuota, now_ms: int) -> bool:
    """Spend one retry; return whether the quota allowed it."""
    drop_old_times(quota, now_ms)
    if len(quota.retries) + 1 > quota.ratio * len(quota.requests) + quota.minimum:
        return False
    quota.retries.append(now_ms)
    return True


def record_arrival(quota: RetryQuota, refused: bool) -> None:
    """Update the refusal rate with a call that a server accepted or refused."""
    quota.refusal_rate += REFUSAL_WEIGHT * (float(refused) - quota.refusal_rate)


def count_expected_retries(quota: RetryQuota, rank: int, now_ms: int) -> None:
    """Add the expected retries of a new call to the demand, and adjust the level."""
    rate = min(quota.refusal_rate, MAX_REFUSAL_RATE)
    if rate >= MIN_REFUSAL_RATE:
        count_work(quota.level, rank, rate / (1 - rate))
    if now_ms - quota.level.adjusted_ms >= ADJUST_INTERVAL_MS:
        update_level(quota.level, spendable_retries(quota, now_ms), {}, now_ms)


def spendable_retries(quota: RetryQuota, now_ms: int) -> float:
    """Return the retries per millisecond that the remaining quota allows."""
    drop_old_times(quota, now_ms)
    remaining = quota.ratio * len(quota.requests) + quota.minimum - len(quota.retries)
    # After a start, the node has counted requests for less than a full window.
    known_ms = now_ms - quota.requests[0] if quota.requests else 0
    return remaining / min(SPEND_FRACTION * quota.window_ms, max(ADJUST_INTERVAL_MS, known_ms))


def drop_old_times(quota: RetryQuota, now_ms: int) -> None:
    """Remove the requests and retries before the window."""
    drop_old(quota.requests, now_ms - quota.window_ms)
    drop_old(quota.retries, now_ms - quota.window_ms)


def drop_old(times_ms: deque[int], oldest_ms: int) -> None:
    """Remove the times before the oldest one to keep."""
    while times_ms and times_ms[0] < oldest_ms:
        times_ms.popleft()
