"""Spend the retries that a node may send to a service."""

from collections import deque

from basilhill.commands.levels import count_work, update_level
from basilhill.retry_quota import RetryQuota

# Weight of the newest call in the share of refused calls: about the last 30 calls count.
REFUSAL_WEIGHT = 0.03
# A smaller share of refusals needs fewer retries than any quota allows.
MIN_REFUSAL_RATE = 0.1
# A call to servers that refuse nearly everything is not expected to need more than 9 retries.
MAX_REFUSAL_RATE = 0.9
# As often as the levels of servers.
ADJUST_INTERVAL_MS = 100
# What is left of the quota lasts for this part of its window; new requests add to it meanwhile.
SPEND_FRACTION = 0.5


def count_request(quota: RetryQuota, now_ms: int) -> None:
    """Count a request."""
    quota.requests.append(now_ms)
    drop_old(quota.requests, now_ms - quota.window_ms)


def spend_retry_quota(quota: RetryQuota, now_ms: int) -> bool:
    """Take one retry; return whether the quota had one."""
    drop_old_times(quota, now_ms)
    if len(quota.retries) + 1 > quota.ratio * len(quota.requests) + quota.minimum:
        return False
    quota.retries.append(now_ms)
    return True


def record_arrival(quota: RetryQuota, refused: bool) -> None:
    """Count a call that a server took or refused."""
    quota.refusal_rate += REFUSAL_WEIGHT * (float(refused) - quota.refusal_rate)


def count_expected_retries(quota: RetryQuota, rank: int, now_ms: int) -> None:
    """Count the retries that a new call will need, and adjust the level to them."""
    rate = min(quota.refusal_rate, MAX_REFUSAL_RATE)
    if rate >= MIN_REFUSAL_RATE:
        count_work(quota.level, rank, rate / (1 - rate))
    if now_ms - quota.level.adjusted_ms >= ADJUST_INTERVAL_MS:
        update_level(quota.level, spendable_retries(quota, now_ms), {}, now_ms)


def spendable_retries(quota: RetryQuota, now_ms: int) -> float:
    """Return the retries a millisecond that the quota allows for a while."""
    drop_old_times(quota, now_ms)
    remaining = quota.ratio * len(quota.requests) + quota.minimum - len(quota.retries)
    # A node that has just started has counted the requests of a part of the window only.
    known_ms = now_ms - quota.requests[0] if quota.requests else 0
    return remaining / min(SPEND_FRACTION * quota.window_ms, max(ADJUST_INTERVAL_MS, known_ms))


def drop_old_times(quota: RetryQuota, now_ms: int) -> None:
    """Drop the requests and retries before the window."""
    drop_old(quota.requests, now_ms - quota.window_ms)
    drop_old(quota.retries, now_ms - quota.window_ms)


def drop_old(times_ms: deque[int], oldest_ms: int) -> None:
    """Drop the times before a moment."""
    while times_ms and times_ms[0] < oldest_ms:
        times_ms.popleft()
