"""Tests of the limits that backend servers state, over simulated time.

Pattern of load: a server states a limit far below the demand, changes it, and ends it, while calls
arrive at random.
"""

from random import Random

import pytest
from basilhill.commands.levels import adjust_rank_level, count_work
from basilhill.commands.rate_limits import refill_tokens, state_limit
from basilhill.commands.slots import release_slot, request_slot, return_slot, start_next_request
from basilhill.levels import RankAdmissionLevel
from basilhill.queries.levels import admitted_share
from basilhill.queries.slots import FIRST_CALLS, reported_calls
from basilhill.slots import ConcurrencyLimiter, SlotDecision
from hypothesis import given
from hypothesis import strategies as st

WINDOW_MS = 4_000
SERVICE_MS = 10


def allowed(limit_per_s: float) -> float:
    """Return how many calls a server may get within `WINDOW_MS`, by the platform's rule."""
    return 1.5 * limit_per_s * WINDOW_MS / 1_000 + 5


def limited(per_s: float, slots: int = 50) -> ConcurrencyLimiter:
    limiter = ConcurrencyLimiter(slots)
    state_limit(limiter, per_s, 0, 0)
    return limiter


def start_times(limiter: ConcurrencyLimiter, arrivals_ms: list[int], wait_ms: int) -> list[int]:
    """Return the times at which calls start that arrive at given times and end at once."""
    started = []
    for now_ms in range(max(arrivals_ms, default=0) + 1):
        for _ in range(arrivals_ms.count(now_ms)):
            if request_slot(limiter, 1, wait_ms, now_ms).decision is SlotDecision.STARTED:
                started.append(now_ms)
                release_slot(limiter, SERVICE_MS)
        refill_tokens(limiter, now_ms)
        while start_next_request(limiter) is not None:
            started.append(now_ms)
            release_slot(limiter, SERVICE_MS)
    return started


@given(
    st.floats(0, 60),
    st.lists(st.integers(0, 6_000), max_size=400),
    st.sampled_from((0, 100, 1_000)),
)
def test_calls_in_any_window_stay_within_the_limit(per_s, arrivals_ms, wait_ms):
    """Guard against a burst above the limit at any phase of the window."""
    started = start_times(limited(per_s), sorted(arrivals_ms), wait_ms)
    for start in started:
        assert sum(start <= time < start + WINDOW_MS for time in started) <= allowed(per_s)


def test_restarted_node_stays_within_the_limit_that_it_does_not_know():
    """Guard against a burst after a restart, before the first response names the limit again."""
    for per_s in (0.5, 2, 10, 40):
        before = start_times(limited(per_s), list(range(WINDOW_MS)), 0)
        restarted = ConcurrencyLimiter(50, heard=False)
        decisions = [request_slot(restarted, 1, 0, WINDOW_MS).decision for _ in range(50)]
        first = decisions.count(SlotDecision.STARTED)
        assert first == FIRST_CALLS
        assert len(before) + first <= allowed(per_s)
        state_limit(restarted, per_s, WINDOW_MS, WINDOW_MS + SERVICE_MS)
        assert request_slot(restarted, 1, 0, WINDOW_MS + SERVICE_MS).decision is (
            SlotDecision.REFUSED
        )


def test_limit_falls_rises_and_ends():
    limiter = limited(20)
    assert state_limit(limiter, 5, 100, 200) and limiter.rate.per_s == 5
    assert state_limit(limiter, 40, 200, 300) and limiter.rate.per_s == 40
    assert not state_limit(limiter, 40, 300, 400)
    assert state_limit(limiter, None, 400, 500)
    assert limiter.rate is None


def test_response_from_before_the_limit_does_not_end_it():
    """Guard against a limit lost through a response that was in flight when it was stated."""
    limiter = limited(20)
    state_limit(limiter, 20, 900, 1_000)
    assert not state_limit(limiter, None, 950, 1_010)
    assert limiter.rate is not None
    assert state_limit(limiter, None, 1_000, 1_100)


def test_token_of_a_call_that_was_not_sent_is_returned():
    """Guard against a limit that cancelled calls use up."""
    limiter = limited(10)
    for _ in range(5):
        assert request_slot(limiter, 1, 0, 1_000).decision is SlotDecision.STARTED
        return_slot(limiter)
    assert limiter.rate.tokens > 5


@pytest.mark.parametrize("waiting", [0, 1])
def test_limited_server_without_tokens_reports_no_room(waiting):
    """Guard against origins that choose a limited server because few of its slots are in use."""
    limiter = limited(10, slots=40)
    assert reported_calls(limiter, 0) == 40
    assert reported_calls(limiter, 1_000) == 0
    for _ in range(waiting):
        request_slot(limiter, 1, 1_000, 0)
    assert reported_calls(limiter, 0) == 40 + waiting


def test_level_of_a_limited_server_admits_what_its_limit_allows():
    """Guard against origins that send a limited server what its slots could take."""
    random, limiter = Random(1), limited(20, slots=70)
    level = RankAdmissionLevel(3.0, 3.0)
    for now_ms in range(0, 5_000, 10):
        # 100 calls per second of rank 1.
        share = admitted_share(level.level, 1)
        if random.random() < share:
            count_work(level, 1, limiter.service_ms, share)
        if now_ms % 100 == 0:
            adjust_rank_level(level, limiter, now_ms)
    assert 0.15 <= admitted_share(level.level, 1) <= 0.4
