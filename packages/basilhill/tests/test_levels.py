"""Tests of admission levels under simulated load, without network."""

from collections.abc import Callable
from random import Random

import pytest
from basilhill.commands.levels import (
    adjust_rank_level,
    count_work,
    drop_expired_levels,
    record_called,
    record_level,
    refit_rank_level,
    set_highest,
)
from basilhill.commands.slots import release_slot, request_slot, start_next_request
from basilhill.levels import HIGHEST_LEVEL, RankAdmissionLevel, RouteLevels
from basilhill.queries.levels import admitted_share, route_level, tree_level
from basilhill.queries.ranks import call_rank
from basilhill.slots import ConcurrencyLimiter, RateLimit, SlotDecision

HIGHEST = 40.0
SLOTS, SERVICE_MS = 13, 22
WINDOW_MS = 100
# Calls per second that the slots can run.
CAPACITY = SLOTS * 1000 / SERVICE_MS
BOOKING, BROWSING = 1, 5


class Simulation:
    """Simulation of one server with its slots and its level in steps of 1 ms."""

    def __init__(self) -> None:
        self.random = Random(7)
        self.limiter = ConcurrencyLimiter(SLOTS, service_ms=SERVICE_MS)
        self.level = RankAdmissionLevel(HIGHEST, HIGHEST)
        self.ends: dict[int, int] = {}
        self.offered = {BOOKING: 0, BROWSING: 0}
        self.served = {BOOKING: 0, BROWSING: 0}
        self.longest_queue = 0

    def run(self, start_ms: int, end_ms: int, rates: Callable[[int], dict[int, float]]) -> None:
        """Offer requests of each rank at a rate per second."""
        for now_ms in range(start_ms, end_ms):
            for _ in range(self.ends.pop(now_ms, 0)):
                release_slot(self.limiter, SERVICE_MS)
            while start_next_request(self.limiter) is not None:
                self.begin(now_ms)
            for rank, rate in rates(now_ms).items():
                if self.random.random() < rate / 1000:
                    self.arrive(rank, now_ms)
            if now_ms % WINDOW_MS == 0:
                adjust_rank_level(self.level, self.limiter, now_ms)
            self.longest_queue = max(self.longest_queue, len(self.limiter.waiting))

    def arrive(self, rank: int, now_ms: int) -> None:
        """Admit a request by the level, and start or queue it."""
        self.offered[rank] += 1
        if self.random.random() >= admitted_share(self.level.level, rank):
            return
        self.served[rank] += 1
        count_work(self.level, rank, SERVICE_MS, admitted_share(self.level.level, rank))
        if (
            request_slot(self.limiter, call_rank(rank, 0), 60_000, now_ms).decision
            is SlotDecision.STARTED
        ):
            self.begin(now_ms)

    def run_delayed(self, start_ms: int, end_ms: int, rate: float, delay_ms: int) -> list[float]:
        """Offer browsing whose calls arrive delayed; return the admitted share of each second."""
        due: dict[int, list[float]] = {}
        shares, offered, admitted = [], 0, 0
        for now_ms in range(start_ms, end_ms):
            if self.random.random() < rate / 1000:
                offered += 1
                share = admitted_share(self.level.level, BROWSING)
                if self.random.random() < share:
                    admitted += 1
                    late_ms = now_ms + self.random.randint(1, 2 * delay_ms)
                    due.setdefault(late_ms, []).append(share)
            for share in due.pop(now_ms, []):
                count_work(self.level, BROWSING, SERVICE_MS, share)
            if now_ms % WINDOW_MS == 0:
                adjust_rank_level(self.level, self.limiter, now_ms)
            if now_ms % 1_000 == 999:
                shares.append(admitted / max(1, offered))
                offered = admitted = 0
        return shares

    def begin(self, now_ms: int) -> None:
        """Schedule the end of a started call."""
        self.ends[now_ms + SERVICE_MS] = self.ends.get(now_ms + SERVICE_MS, 0) + 1

    def share(self, rank: int) -> float:
        """Return the share of the requests of a rank that were admitted."""
        return self.served[rank] / max(1, self.offered[rank])

    def reset_counts(self) -> None:
        """Reset the counts of requests and the longest queue."""
        self.offered = {BOOKING: 0, BROWSING: 0}
        self.served = {BOOKING: 0, BROWSING: 0}
        self.longest_queue = len(self.limiter.waiting)


def rates(booking: float, browsing: float) -> Callable[[int], dict[int, float]]:
    return lambda _: {BOOKING: booking * CAPACITY, BROWSING: browsing * CAPACITY}


def test_low_load_is_admitted_completely():
    simulation = Simulation()
    simulation.run(0, 5_000, rates(0.2, 0.5))
    assert simulation.share(BROWSING) == 1.0


def test_burst_refuses_browsing_only_and_keeps_the_queue_short():
    """Guard against internal calls of admitted requests that wait behind a burst of new ones."""
    simulation = Simulation()
    simulation.run(0, 2_000, rates(0.2, 0.5))
    simulation.run(2_000, 3_000, rates(0.3, 1.5))
    simulation.reset_counts()
    simulation.run(3_000, 8_000, rates(0.3, 1.5))
    assert simulation.share(BOOKING) == 1.0
    assert 0.3 < simulation.share(BROWSING) < 0.5
    assert simulation.longest_queue * SERVICE_MS / SLOTS < 150


def test_level_does_not_oscillate_when_calls_arrive_long_after_their_request():
    """Guard against oscillation under high load between refusing all requests and none."""
    shares = Simulation().run_delayed(0, 16_000, 1.6 * CAPACITY, 700)
    assert all(0.45 < share < 0.68 for share in shares[4:])


def test_level_rises_soon_after_a_burst():
    simulation = Simulation()
    simulation.run(0, 4_000, rates(0.3, 1.5))
    simulation.run(4_000, 7_000, rates(0.2, 0.4))
    simulation.reset_counts()
    simulation.run(7_000, 8_000, rates(0.2, 0.4))
    assert simulation.share(BROWSING) == 1.0


def test_queued_browsing_does_not_reduce_the_slots_for_bookings():
    """Guard against refusal of urgent requests because of a queue that they overtake."""
    simulation = Simulation()
    simulation.run(0, 2_000, rates(0.4, 0.4))
    for _ in range(200):
        request_slot(simulation.limiter, call_rank(BROWSING, 0), 60_000, 2_000)
    simulation.reset_counts()
    simulation.run(2_000, 2_400, rates(0.4, 0.4))
    assert simulation.share(BOOKING) == 1.0
    assert simulation.share(BROWSING) < 0.3


def test_overload_by_bookings_refuses_browsing_first():
    simulation = Simulation()
    simulation.run(0, 2_000, rates(1.4, 0.5))
    simulation.reset_counts()
    simulation.run(2_000, 6_000, rates(1.4, 0.5))
    assert simulation.share(BROWSING) < 0.05
    assert simulation.share(BOOKING) > 0.55


def test_level_of_a_route_is_the_mean_of_its_servers():
    levels = RouteLevels(HIGHEST)
    record_level(levels, "pantry", "i-1", 4.0, 0)
    record_level(levels, "pantry", "i-2", 6.0, 0)
    assert route_level(levels, "pantry", 100) == 5.0


def test_server_that_gets_no_calls_does_not_raise_the_level():
    """Guard against admitting all requests when remote servers have not reported for seconds."""
    levels = RouteLevels(HIGHEST)
    record_level(levels, "pantry", "i-far", 6.0, 0)
    record_level(levels, "pantry", "i-near", 4.0, 5_000)
    assert route_level(levels, "pantry", 5_100) == 4.0


def test_level_of_an_old_report_rises_until_it_admits_requests_again():
    """Guard against a route that stays refused because no reply carries a newer level."""
    levels = RouteLevels(HIGHEST)
    record_level(levels, "pantry", "i-1", 0.0, 0)
    assert route_level(levels, "pantry", 500) == 0.0
    assert route_level(levels, "pantry", 2_500) == 2.0
    drop_expired_levels(levels, 20_000)
    assert route_level(levels, "pantry", 20_000) == HIGHEST


def test_route_uses_the_strictest_level_on_its_call_path():
    """Guard against admission of browsing requests whose internal calls get no slot."""
    levels = RouteLevels(HIGHEST)
    record_called(levels, "browse", "table")
    record_called(levels, "browse", "prices")
    record_level(levels, "table", "i-1", 4.5, 0)
    assert tree_level(levels, "browse", 30.0, 0) == 4.5
    assert tree_level(levels, "deposit", 30.0, 0) == 30.0


def test_restriction_of_some_servers_counts_in_the_mean_of_a_route():
    """Guard against a saturated deep service whose restriction the other servers hide.

    Pattern of load: a burst saturates some servers of a service that requests call late. Requests
    that are admitted nevertheless wait there until their timeout, and their work is lost.
    """
    levels, level = RouteLevels(HIGHEST_LEVEL), RankAdmissionLevel(HIGHEST_LEVEL, HIGHEST_LEVEL)
    set_highest(levels, level, 3.0)
    for server_id, reported in (("a", 2.3), ("b", 2.3), ("c", level.level), ("d", level.level)):
        record_level(levels, "lookup", server_id, reported, 0)
    assert admitted_share(route_level(levels, "lookup", 0), 2) == pytest.approx(0.65)
    assert admitted_share(route_level(levels, "lookup", 0), 1) == 1.0


def test_restriction_is_lifted_over_several_windows():
    """Guard against levels that oscillate between a restriction and no restriction at all."""
    levels, level = RouteLevels(HIGHEST_LEVEL), RankAdmissionLevel(HIGHEST_LEVEL, HIGHEST_LEVEL)
    set_highest(levels, level, 3.0)
    level.level = 1.2
    limiter = ConcurrencyLimiter(SLOTS, service_ms=SERVICE_MS)
    shares = []
    for window in range(1, 8):
        adjust_rank_level(level, limiter, window * WINDOW_MS)
        shares.append(admitted_share(level.level, 2))
    assert shares[0] < 0.5 < shares[-1] == 1.0


def test_less_urgent_ranks_of_a_new_configuration_are_admitted():
    """Guard against requests of a new rank that an old highest level refuses."""
    levels, level = RouteLevels(HIGHEST_LEVEL), RankAdmissionLevel(HIGHEST_LEVEL, HIGHEST_LEVEL)
    set_highest(levels, level, 3.0)
    set_highest(levels, level, 6.0)
    assert admitted_share(route_level(levels, "new", 0), 5) == 1.0
    assert admitted_share(tree_level(levels, "new", level.level, 0), 5) == 1.0


def test_end_of_a_rate_limit_raises_the_level_at_once():
    """Guard against a response that ends a limit but still carries the level of the limit.

    An origin that admits no calls gets no later level, and refused calls for a second more.
    """
    level, limiter = RankAdmissionLevel(HIGHEST, HIGHEST), ConcurrencyLimiter(SLOTS)
    limiter.rate = RateLimit(per_s=0.5, stated_ms=0)
    for window in range(1, 20):
        count_work(level, BOOKING, work=20.0)
        adjust_rank_level(level, limiter, window * WINDOW_MS)
    assert level.level < BOOKING + 0.1
    limiter.rate = None
    refit_rank_level(level, limiter)
    assert admitted_share(level.level, BOOKING) >= 0.5


def lowest_share_around_a_pause(clients: int, pause_ms: int) -> float:
    """Return the lowest admitted share beside clients that send one call after the other.

    The server takes 2 ms for a call, and responds to none during its pause.
    """
    level, limiter = RankAdmissionLevel(HIGHEST, HIGHEST), ConcurrencyLimiter(SLOTS)
    pause = range(3_000, 3_000 + pause_ms)
    started: list[int] = []
    shares = []
    for now_ms in range(6_000):
        ended = [] if now_ms in pause else [ms for ms in started if now_ms - ms >= 2]
        for started_ms in ended:
            started.remove(started_ms)
            release_slot(limiter, now_ms - started_ms)
        for _ in range(clients - len(started)):
            count_work(level, BOOKING, limiter.service_ms)
            request_slot(limiter, call_rank(BOOKING, 0), 60, now_ms)
            started.append(now_ms)
        if now_ms % WINDOW_MS == 0:
            adjust_rank_level(level, limiter, now_ms)
            shares.append(admitted_share(level.level, BOOKING))
    return min(shares)


@pytest.mark.parametrize("pause_ms", [0, 300, 1_200])
def test_pause_of_a_server_with_free_slots_causes_no_refusals(pause_ms):
    """Guard against refusals after a pause of a server that never uses more than half its slots.

    The slot times of the calls that waited count in the expected work of the calls after them.
    """
    assert lowest_share_around_a_pause(SLOTS // 2, pause_ms) == 1.0
