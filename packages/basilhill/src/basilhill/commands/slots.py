"""Allocate the slots of a backend server."""

from bisect import insort

from attrs import frozen

from basilhill.queries.slots import expected_wait_ms
from basilhill.slots import ConcurrencyLimiter, SlotDecision, SlotRequest

# Weight of the newest call in the mean slot time.
SERVICE_TIME_WEIGHT = 0.05


@frozen
class SlotGrant:
    """Decision about a slot request, and the queued requests that it displaced."""

    decision: SlotDecision
    request: SlotRequest
    displaced: tuple[SlotRequest, ...] = ()


def request_slot(gate: ConcurrencyLimiter, rank: int, patience_ms: int, now_ms: int) -> SlotGrant:
    """Start a call, queue it by rank, or refuse it if its wait would exceed its wait limit."""
    gate.sequence += 1
    request = SlotRequest(rank, gate.sequence, patience_ms, now_ms)
    if gate.in_flight < gate.slots and not gate.waiting:
        gate.in_flight += 1
        return SlotGrant(SlotDecision.STARTED, request)
    insort(gate.waiting, request)
    displaced = displace_late_requests(gate, now_ms)
    if request in displaced:
        others = tuple(other for other in displaced if other is not request)
        return SlotGrant(SlotDecision.REFUSED, request, others)
    return SlotGrant(SlotDecision.QUEUED, request, displaced)


def displace_late_requests(gate: ConcurrencyLimiter, now_ms: int) -> tuple[SlotRequest, ...]:
    """Remove and return requests at the end of the queue that would exceed their wait limit."""
    displaced = []
    while gate.waiting:
        last = gate.waiting[-1]
        waited_ms = now_ms - last.arrived_ms
        if waited_ms + expected_wait_ms(gate, len(gate.waiting) - 1) <= last.patience_ms:
            break
        displaced.append(gate.waiting.pop())
    return tuple(displaced)


def withdraw_request(gate: ConcurrencyLimiter, request: SlotRequest) -> None:
    """Remove a request from the queue, if it is queued."""
    if request in gate.waiting:
        gate.waiting.remove(request)


def release_slot(gate: ConcurrencyLimiter, held_ms: float) -> None:
    """Free the slot of a completed call and update the mean slot time."""
    gate.in_flight -= 1
    gate.service_ms += SERVICE_TIME_WEIGHT * (held_ms - gate.service_ms)


def return_slot(gate: ConcurrencyLimiter) -> None:
    """Free a slot that was not used, without an update of the mean slot time."""
    gate.in_flight -= 1


def start_next_request(gate: ConcurrencyLimiter) -> SlotRequest | None:
    """Start the first queued request if a slot is free; return it or None."""
    if not gate.waiting or gate.in_flight >= gate.slots:
        return None
    gate.in_flight += 1
    return gate.waiting.pop(0)
