"""Read the state of the slots of a backend server."""

from basilhill.slots import SlotGate


def expected_wait_ms(gate: SlotGate, position: int) -> float:
    """Return the expected wait in ms of a call at a position of the queue."""
    return (position + 1) * gate.service_ms / max(1, gate.slots)


def drain_ms(gate: SlotGate) -> float:
    """Return the time in ms until all queued calls have got a slot."""
    return expected_wait_ms(gate, len(gate.waiting))
