"""Tests of the quota of retries from a node to a service."""

from random import Random

from basilhill.commands.retry_quota import (
    count_expected_retries,
    count_request,
    record_arrival,
    spend_retry_quota,
)
from basilhill.queries.cohorts import hash_fraction
from basilhill.queries.levels import admitted_share
from basilhill.retry_quota import RetryQuota

# Sequential calls of an action.
CALLS = 5


def test_retries_are_a_share_of_the_requests_of_the_window():
    quota = RetryQuota(0.2, 10_000, 0.0)
    for _ in range(10):
        count_request(quota, 0)
    assert [spend_retry_quota(quota, 0) for _ in range(3)] == [True, True, False]
    assert not spend_retry_quota(quota, 10_001)


def test_minimum_applies_without_requests():
    quota = RetryQuota(0.2, 10_000, 1.0)
    assert spend_retry_quota(quota, 0)
    assert not spend_retry_quota(quota, 1)


class SheddingService:
    """Simulation of actions with sequential calls to servers that refuse a share of the calls."""

    def __init__(self, refused: float, rates: dict[int, int]) -> None:
        self.random = Random(5)
        self.refused = refused
        self.rates = rates
        self.quota = RetryQuota(0.2, 10_000, 0.0)
        self.actions = dict.fromkeys(rates, 0)
        self.completed = dict.fromkeys(rates, 0)

    def run(self, start_ms: int, end_ms: int) -> None:
        """Start actions of each rank at a rate per second."""
        for now_ms in range(start_ms, end_ms):
            for rank, rate in self.rates.items():
                if self.random.random() < rate / 1000:
                    self.run_action(rank, now_ms)

    def run_action(self, rank: int, now_ms: int) -> None:
        """Make the calls of an action until one of them is refused without a further retry."""
        self.actions[rank] += 1
        place = hash_fraction(f"{now_ms}/{rank}")
        if all(self.call(rank, place, now_ms) for _ in range(CALLS)):
            self.completed[rank] += 1

    def call(self, rank: int, place: float, now_ms: int) -> bool:
        """Send a call and retry it while it is refused and a retry is allowed."""
        count_request(self.quota, now_ms)
        count_expected_retries(self.quota, rank, now_ms)
        while True:
            refused = self.random.random() < self.refused
            record_arrival(self.quota, refused)
            if not refused:
                return True
            admitted = place < admitted_share(self.quota.level.level, rank)
            if not (admitted and spend_retry_quota(self.quota, now_ms)):
                return False


def test_most_urgent_actions_get_the_retries_when_servers_shed_load():
    """Guard against retries spread over all actions, so that each of them loses one call.

    Without retries 1 in 32 actions completes. The quota allows about 1,000 retries per second in
    the first seconds and an action needs 5, which suffices for the urgent actions only.
    """
    service = SheddingService(0.0, {0: 100, 2: 900})
    service.run(0, 10_000)
    service.refused = 0.5
    service.run(10_000, 10_500)
    service.actions, service.completed = {0: 0, 2: 0}, {0: 0, 2: 0}
    service.run(10_500, 13_500)
    assert service.completed[0] > 0.9 * service.actions[0]
    assert service.completed[0] / service.actions[0] > 2 * service.completed[2] / service.actions[2]


def test_all_ranks_get_retries_when_few_calls_are_refused():
    service = SheddingService(0.08, {0: 100, 2: 200})
    service.run(0, 10_000)
    for rank, actions in service.actions.items():
        assert service.completed[rank] > 0.97 * actions
