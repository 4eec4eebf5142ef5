"""Spend the retries that a node may send to a service."""

from collections import deque

from basilhill.retry_quota import RetryQuota


def count_request(quota: RetryQuota, now_ms: int, repeated: bool = False) -> None:
    """Count a request; a call made by a repeated run spends a retry, whatever is left."""
    quota.requests.append(now_ms)
    drop_old(quota.requests, now_ms - quota.window_ms)
    if repeated:
        quota.retries.append(now_ms)


def spend_retry_quota(quota: RetryQuota, now_ms: int) -> bool:
    """Take one retry; return whether the quota had one."""
    oldest_ms = now_ms - quota.window_ms
    drop_old(quota.requests, oldest_ms)
    drop_old(quota.retries, oldest_ms)
    if len(quota.retries) + 1 > quota.ratio * len(quota.requests) + quota.minimum:
        return False
    quota.retries.append(now_ms)
    return True


def drop_old(times_ms: deque[int], oldest_ms: int) -> None:
    """Drop the times before a moment."""
    while times_ms and times_ms[0] < oldest_ms:
        times_ms.popleft()
