"""Allocate the slots of a backend server."""

from bisect import insort

from attrs import frozen

from basilhill.commands.rate_limits import refill_tokens, return_token, take_token
from basilhill.queries.slots import expected_slot_wait_ms, has_free_slot, shed_rate_at
from basilhill.slots import ConcurrencyLimiter, SlotDecision, SlotRequest

# Weight of the newest call in the mean slot time.
SERVICE_TIME_WEIGHT = 0.05
# Weight of the newest call in the share of calls that the server refuses.
SHED_WEIGHT = 0.1


@frozen
class SlotGrant:
    """Decision about a slot request, and the queued requests that it displaced."""

    decision: SlotDecision
    request: SlotRequest
    displaced: tuple[SlotRequest, ...] = ()


def request_slot(
    limiter: ConcurrencyLimiter, rank: int, wait_limit_ms: int, now_ms: int
) -> SlotGrant:
    """Start a call, queue it by rank, or refuse it if its wait would exceed its wait limit."""
    limiter.sequence += 1
    request = SlotRequest(rank, limiter.sequence, wait_limit_ms, now_ms)
    refill_tokens(limiter, now_ms)
    if has_free_slot(limiter) and not limiter.waiting and take_token(limiter):
        limiter.in_flight += 1
        return SlotGrant(SlotDecision.STARTED, request)
    insort(limiter.waiting, request)
    displaced = displace_late_requests(limiter, now_ms)
    if request in displaced:
        others = tuple(other for other in displaced if other is not request)
        return SlotGrant(SlotDecision.REFUSED, request, others)
    return SlotGrant(SlotDecision.QUEUED, request, displaced)


def displace_late_requests(limiter: ConcurrencyLimiter, now_ms: int) -> tuple[SlotRequest, ...]:
    """Remove and return requests at the end of the queue that would exceed their wait limit."""
    displaced = []
    while limiter.waiting:
        last = limiter.waiting[-1]
        waited_ms = now_ms - last.arrived_ms
        if (
            waited_ms + expected_slot_wait_ms(limiter, len(limiter.waiting) - 1)
            <= last.wait_limit_ms
        ):
            break
        displaced.append(limiter.waiting.pop())
    return tuple(displaced)


def withdraw_request(limiter: ConcurrencyLimiter, request: SlotRequest) -> None:
    """Remove a request from the queue, if it is queued."""
    if request in limiter.waiting:
        limiter.waiting.remove(request)


def release_slot(limiter: ConcurrencyLimiter, slot_time_ms: float) -> None:
    """Free the slot of a completed call and update the mean slot time."""
    limiter.in_flight -= 1
    limiter.service_ms += SERVICE_TIME_WEIGHT * (slot_time_ms - limiter.service_ms)


def record_shed(limiter: ConcurrencyLimiter, shed: bool, now_ms: int) -> None:
    """Update the share of the calls that the server refuses although it had a free slot."""
    before = shed_rate_at(limiter, now_ms)
    limiter.shed_rate = before + SHED_WEIGHT * (float(shed) - before)
    limiter.shed_ms = now_ms


def return_slot(limiter: ConcurrencyLimiter) -> None:
    """Free a slot that was not used, without an update of the mean slot time."""
    limiter.in_flight -= 1
    return_token(limiter)


def start_next_request(limiter: ConcurrencyLimiter) -> SlotRequest | None:
    """Start the first queued request if a slot is free and a token left; return it or None."""
    if not limiter.waiting or not has_free_slot(limiter) or not take_token(limiter):
        return None
    limiter.in_flight += 1
    return limiter.waiting.pop(0)
