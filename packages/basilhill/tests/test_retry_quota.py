"""Tests of the retries that a node may send to a service."""

from basilhill.commands.retry_quota import count_request, spend_retry_quota
from basilhill.retry_quota import RetryQuota


def test_retries_are_a_share_of_the_requests_of_the_window():
    quota = RetryQuota(0.2, 10_000, 0.0)
    for _ in range(10):
        count_request(quota, 0)
    assert [spend_retry_quota(quota, 0) for _ in range(3)] == [True, True, False]
    assert not spend_retry_quota(quota, 10_001)


def test_minimum_is_there_without_requests():
    quota = RetryQuota(0.2, 10_000, 1.0)
    assert spend_retry_quota(quota, 0)
    assert not spend_retry_quota(quota, 1)


def test_calls_of_a_repeated_run_spend_retries():
    """Guards against one repeat that multiplies into a repeat of each call below it."""
    quota = RetryQuota(0.2, 10_000, 3.0)
    for _ in range(4):
        count_request(quota, 0, repeated=True)
    assert not spend_retry_quota(quota, 0)
