"""Read the state of a backend server's slots."""

from basilhill.slots import SlotGate


def expected_wait_ms(gate: SlotGate, position: int) -> float:
    """Return how long a call at a position of the queue waits for its slot."""
    return (position + 1) * gate.service_ms / max(1, gate.slots)


def drain_ms(gate: SlotGate) -> float:
    """Return how long the calls that wait now take to get their slots."""
    return expected_wait_ms(gate, len(gate.waiting))
