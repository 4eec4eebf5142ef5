"""Tests of the slots of a backend server: queue order, refusals and displaced calls."""

from basilhill.commands.slots import (
    release_slot,
    request_slot,
    start_next_request,
    withdraw_request,
)
from basilhill.slots import ConcurrencyLimiter, SlotDecision

SERVICE_MS = 20.0


def full_limiter(slots: int = 2) -> ConcurrencyLimiter:
    limiter = ConcurrencyLimiter(slots, service_ms=SERVICE_MS)
    for _ in range(slots):
        assert request_slot(limiter, 0, 100, 0).decision is SlotDecision.STARTED
    return limiter


def test_calls_wait_in_order_of_rank_then_arrival():
    limiter = full_limiter()
    for rank in (5, 1, 5):
        assert request_slot(limiter, rank, 1_000, 0).decision is SlotDecision.QUEUED
    release_slot(limiter, SERVICE_MS)
    assert start_next_request(limiter).rank == 1
    release_slot(limiter, SERVICE_MS)
    assert start_next_request(limiter).sequence < limiter.waiting[0].sequence


def test_no_call_starts_beyond_the_slots():
    limiter = full_limiter()
    request_slot(limiter, 1, 1_000, 0)
    assert start_next_request(limiter) is None


def test_call_that_would_wait_too_long_is_refused_immediately():
    """Guard against a queue of requests that cannot get a slot within their wait limit."""
    limiter = full_limiter()
    assert request_slot(limiter, 5, 10, 0).decision is SlotDecision.QUEUED
    assert request_slot(limiter, 5, 10, 0).decision is SlotDecision.REFUSED


def test_urgent_call_displaces_the_least_urgent_call_that_exceeds_its_wait_limit():
    limiter = full_limiter()
    least_urgent = request_slot(limiter, 5, 10, 0).request
    grant = request_slot(limiter, 1, 10, 0)
    assert grant.decision is SlotDecision.QUEUED
    assert grant.displaced == (least_urgent,)


def test_new_call_does_not_overtake_a_queued_call_when_a_slot_is_free():
    limiter = full_limiter(1)
    first = request_slot(limiter, 3, 1_000, 0).request
    release_slot(limiter, SERVICE_MS)
    assert request_slot(limiter, 9, 1_000, 0).decision is SlotDecision.QUEUED
    assert start_next_request(limiter) is first


def test_withdrawn_call_gets_no_slot():
    limiter = full_limiter(1)
    request = request_slot(limiter, 3, 1_000, 0).request
    withdraw_request(limiter, request)
    release_slot(limiter, SERVICE_MS)
    assert start_next_request(limiter) is None and limiter.in_flight == 0
