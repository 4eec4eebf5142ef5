"""Read the state of an admission controller."""

from bisect import bisect_right

from basilhill.admission import AdmissionState, QueuedCall, QueueKey
from basilhill.calls import COHORTS, MAX_PRIORITY, CallContext, PriorityClass

# An action admitted at its first node passes deeper levels with this margin, so that overload
# refuses new actions before it wastes work already done.
ADMITTED_MARGIN = 16
# The smallest share of transactions stays open, so that a level is always measured against
# arrivals and comes down again.
HIGHEST_LEVEL = MAX_PRIORITY + 1 - 8
QUEUE_DELAY_TARGET_MS = 20
SATURATED_UTILISATION = 0.9
QUEUE_DELAY_SHARE = 0.25
INTERNAL_QUEUE_FACTORS = (2, 4)
DRAIN_MS = 1_000
IDLE_FACTOR_MAX = 4.0


def passes_level(context: CallContext, level: int) -> bool:
    """Tell whether an admission level admits a call."""
    margin = ADMITTED_MARGIN if context.depth > 0 else 0
    return context.priority + margin >= level


def has_free_slot(state: AdmissionState) -> bool:
    """Tell whether a call could start at once."""
    return state.able and not state.queue and state.in_flight < int(state.limit)


def held_ms(state: AdmissionState, call: str, usual_ms: float) -> float:
    """Return how long a call holds its slot, in milliseconds."""
    times = state.times.get(call)
    return usual_ms if times is None else times.held_ms


def expected_wait_ms(state: AdmissionState, key: QueueKey) -> float:
    """Return the time that a call would wait at its place of the queue, in milliseconds."""
    if has_free_slot(state):
        return 0.0
    ahead = len(state.queue) - bisect_right(state.queue, key, key=order_key)
    return (ahead + 0.5) * state.service_ms / max(1.0, state.limit)


def wait_limit_ms(state: AdmissionState, context: CallContext) -> int:
    """Return how long a call may wait for a slot, in milliseconds.

    An internal call may wait longer, about as long as a call usually takes: refusing it wastes
    the work of its action so far, and a queue served in one service time is no lasting backlog.
    """
    if context.depth == 0:
        return state.queue_ms
    least_ms, most_ms = (factor * state.queue_ms for factor in INTERNAL_QUEUE_FACTORS)
    return int(max(least_ms, min(most_ms, state.service_ms)))


def queue_key(state: AdmissionState, context: CallContext) -> QueueKey:
    """Return the position of a call in the queue."""
    return (context.priority_class, context.depth, -context.deadline_ms, -state.sequence)


def order_key(queued: QueuedCall) -> QueueKey:
    """Return the key that orders the queue."""
    return queued.key


def next_queued(state: AdmissionState) -> QueuedCall | None:
    """Return the waiting call that gets the next free slot."""
    if not state.queue or state.in_flight >= int(state.limit):
        return None
    return state.queue[-1]


def mean_delay_ms(state: AdmissionState, now_ms: int) -> float:
    """Return the mean delay of the calls that waited in this window or wait now."""
    delays_ms = [now_ms - queued.enqueued_ms for queued in state.queue]
    delays_ms.extend(state.window.delays_ms)
    return sum(delays_ms) / len(delays_ms) if delays_ms else 0.0


def delay_target_ms(state: AdmissionState) -> float:
    """Return the queue delay above which the server is overloaded, in milliseconds."""
    share_ms = QUEUE_DELAY_SHARE * state.service_ms
    return min(state.queue_ms, max(QUEUE_DELAY_TARGET_MS, share_ms))


def utilisation(state: AdmissionState, now_ms: int) -> float:
    """Return the share of the limit that was in use in this window."""
    busy_ms = busy_until(state, now_ms) - state.window_busy_ms
    return busy_ms / max(1.0, state.limit * (now_ms - state.window.started_ms))


def busy_until(state: AdmissionState, now_ms: int) -> float:
    """Return the slot time used since the start, in milliseconds."""
    return state.busy_ms + state.in_flight * (now_ms - state.busy_changed_ms)


def open_cohorts(priority_class: PriorityClass, level: int) -> int:
    """Return how many cohorts of a class a level admits."""
    return max(0, min(COHORTS, (priority_class + 1) * COHORTS - level))


def demand_level(state: AdmissionState) -> int:
    """Return the level that admits as much measured demand as the server has slots for."""
    slots = admissible_slots(state)
    for priority_class in reversed(PriorityClass):
        density = slots_per_cohort(state, priority_class)
        if density * COHORTS > slots:
            closed = COHORTS - int(slots / density)
            return min(HIGHEST_LEVEL, priority_class * COHORTS + closed)
        slots -= density * COHORTS
    return 0


def slots_per_cohort(state: AdmissionState, priority_class: PriorityClass) -> float:
    """Return the slots that one cohort of a class would fill at the present service times."""
    return sum(
        rate * held_ms(state, call, state.service_ms)
        for (kind, call), rate in state.densities.items()
        if kind is priority_class
    )


def admissible_slots(state: AdmissionState) -> float:
    """Return the slots to fill: fewer while calls wait, more while slots idle."""
    waiting_ms = len(state.queue) * state.service_ms
    target_ms = delay_target_ms(state) * state.limit
    slots = state.limit * state.headroom + (target_ms - waiting_ms) / DRAIN_MS
    if not state.queue:
        slots *= min(
            IDLE_FACTOR_MAX, max(1.0, SATURATED_UTILISATION / max(0.01, state.mean_utilisation))
        )
    return max(0.0, slots)
