"""Read the state of the slots of a backend server."""

from basilhill.slots import ConcurrencyLimiter


def expected_wait_ms(gate: ConcurrencyLimiter, position: int) -> float:
    """Return the expected wait in ms of a call at a position of the queue."""
    return (position + 1) * gate.service_ms / max(1, gate.slots)


def queue_drain_ms(gate: ConcurrencyLimiter) -> float:
    """Return the time in ms until all queued calls have got a slot."""
    return expected_wait_ms(gate, len(gate.waiting))
