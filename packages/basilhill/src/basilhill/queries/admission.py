"""Read the state of an admission controller."""

from basilhill.admission import AdmissionState, QueuedCall, QueueKey
from basilhill.calls import CallContext

# An action admitted at its first node passes deeper levels with this margin, so that overload
# refuses new actions before it wastes work already done.
ADMITTED_MARGIN = 16


def passes_level(context: CallContext, level: int) -> bool:
    """Tell whether an admission level admits a call."""
    margin = ADMITTED_MARGIN if context.depth > 0 else 0
    return context.priority + margin >= level


def expected_wait_ms(state: AdmissionState) -> float:
    """Return the time that a call queued now would wait, in milliseconds."""
    return len(state.queue) * state.service_ms / max(1.0, state.limit)


def queue_key(state: AdmissionState, context: CallContext) -> QueueKey:
    """Return the position of a call in the queue."""
    return QueueKey(-context.priority_class, -context.depth, context.deadline_ms, state.sequence)


def next_queued(state: AdmissionState) -> QueuedCall | None:
    """Return the waiting call that gets the next free slot."""
    if not state.queue or state.in_flight >= int(state.limit):
        return None
    return min(state.queue.values(), key=lambda queued: queued.key)
