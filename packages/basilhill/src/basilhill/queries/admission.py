"""Read the state of an admission controller."""

from bisect import bisect_right

from basilhill.admission import AdmissionState, QueuedCall, QueueKey
from basilhill.calls import COHORTS, MAX_PRIORITY, CallContext, PriorityClass

# Margin by which internal calls pass an admission level. Under overload, new actions are refused
# before internal calls of admitted actions, whose work so far would be wasted.
ADMITTED_MARGIN = 16
# The highest level still admits the 8 highest transaction cohorts. Their arrivals show the demand,
# so that the level can fall again.
HIGHEST_LEVEL = MAX_PRIORITY + 1 - 8
QUEUE_DELAY_TARGET_MS = 20
SATURATED_UTILISATION = 0.9
QUEUE_DELAY_SHARE = 0.25
INTERNAL_QUEUE_FACTORS = (2, 4)
DRAIN_MS = 1_000
IDLE_FACTOR_MAX = 4.0


def passes_level(context: CallContext, level: int) -> bool:
    """Return whether an admission level admits a call."""
    margin = ADMITTED_MARGIN if context.depth > 0 else 0
    return context.priority + margin >= level


def has_free_slot(state: AdmissionState) -> bool:
    """Return whether a call could start without waiting."""
    return state.backend_available and not state.queue and state.in_flight < int(state.limit)


def slot_time_ms(state: AdmissionState, call: str, usual_ms: float) -> float:
    """Return the expected slot time of a call in milliseconds."""
    times = state.times.get(call)
    return usual_ms if times is None else times.slot_time_ms


def expected_wait_ms(state: AdmissionState, key: QueueKey) -> float:
    """Return the time in milliseconds that a call with this key would wait in the queue."""
    if has_free_slot(state):
        return 0.0
    ahead = len(state.queue) - bisect_right(state.queue, key, key=order_key)
    return (ahead + 0.5) * state.service_ms / max(1.0, state.limit)


def wait_limit_ms(state: AdmissionState, context: CallContext) -> int:
    """Return how long a call may wait for a slot, in milliseconds.

    An internal call may wait for about one service time. Refusing it wastes the work done so far
    for its action, and a queue that drains in one service time is not a persistent backlog.
    """
    if context.depth == 0:
        return state.queue_ms
    least_ms, most_ms = (factor * state.queue_ms for factor in INTERNAL_QUEUE_FACTORS)
    return int(max(least_ms, min(most_ms, state.service_ms)))


def queue_key(state: AdmissionState, context: CallContext) -> QueueKey:
    """Return the key that orders a call in the queue."""
    return (context.priority_class, context.depth, -context.deadline_ms, -state.sequence)


def order_key(queued: QueuedCall) -> QueueKey:
    return queued.key


def next_queued(state: AdmissionState) -> QueuedCall | None:
    """Return the queued call to start next, None if the queue is empty or no slot is free."""
    if not state.queue or state.in_flight >= int(state.limit):
        return None
    return state.queue[-1]


def mean_delay_ms(state: AdmissionState, now_ms: int) -> float:
    """Return the mean queue delay in ms of the queued calls and those that left in this window."""
    delays_ms = [now_ms - queued.enqueued_ms for queued in state.queue]
    delays_ms.extend(state.window.delays_ms)
    return sum(delays_ms) / len(delays_ms) if delays_ms else 0.0


def delay_target_ms(state: AdmissionState) -> float:
    """Return the queue delay above which the server is overloaded, in milliseconds."""
    share_ms = QUEUE_DELAY_SHARE * state.service_ms
    return min(state.queue_ms, max(QUEUE_DELAY_TARGET_MS, share_ms))


def utilisation(state: AdmissionState, now_ms: int) -> float:
    """Return the mean share of the concurrency limit that was in use in this window."""
    busy_ms = busy_until(state, now_ms) - state.window_busy_ms
    return busy_ms / max(1.0, state.limit * (now_ms - state.window.started_ms))


def busy_until(state: AdmissionState, now_ms: int) -> float:
    """Return the slot time used since the start, in milliseconds."""
    return state.busy_ms + state.in_flight * (now_ms - state.busy_changed_ms)


def open_cohorts(priority_class: PriorityClass, level: int) -> int:
    """Return how many cohorts of a class a level admits."""
    return max(0, min(COHORTS, (priority_class + 1) * COHORTS - level))


def demand_level(state: AdmissionState) -> int:
    """Return the level at which the admitted demand fits the slots of the server."""
    slots = admissible_slots(state)
    for priority_class in reversed(PriorityClass):
        density = slots_per_cohort(state, priority_class)
        if density * COHORTS > slots:
            closed = COHORTS - int(slots / density)
            return min(HIGHEST_LEVEL, priority_class * COHORTS + closed)
        slots -= density * COHORTS
    return 0


def slots_per_cohort(state: AdmissionState, priority_class: PriorityClass) -> float:
    """Return the slots that one cohort of a class occupies at the current service times."""
    return sum(
        rate * slot_time_ms(state, call, state.service_ms)
        for (kind, call), rate in state.densities.items()
        if kind is priority_class
    )


def admissible_slots(state: AdmissionState) -> float:
    """Return the slots to fill: fewer while calls are queued, more while slots are idle."""
    waiting_ms = len(state.queue) * state.service_ms
    target_ms = delay_target_ms(state) * state.limit
    slots = state.limit * state.headroom + (target_ms - waiting_ms) / DRAIN_MS
    if not state.queue:
        slots *= min(IDLE_FACTOR_MAX, max(1.0, SATURATED_UTILISATION / max(0.01, state.used_share)))
    return max(0.0, slots)
