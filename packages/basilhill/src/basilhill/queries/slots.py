"""Read the state of the slots of a backend server."""

from basilhill.slots import ConcurrencyLimiter


def expected_slot_wait_ms(limiter: ConcurrencyLimiter, position: int) -> float:
    """Return the expected wait in ms of a call at a position of the queue."""
    return (position + 1) * limiter.service_ms / max(1, limiter.slots)


def queue_drain_ms(limiter: ConcurrencyLimiter) -> float:
    """Return the time in ms until all queued calls have got a slot."""
    return expected_slot_wait_ms(limiter, len(limiter.waiting))
