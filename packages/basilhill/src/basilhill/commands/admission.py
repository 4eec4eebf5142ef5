"""Admit, queue, start and complete the calls of one backend server."""

from bisect import bisect_left, insort

from attrs import frozen
from expression import Error, Ok, Result

from basilhill.admission import AdmissionState, CallTimes, LevelWindow, QueuedCall
from basilhill.calls import COHORTS, CallContext
from basilhill.outcomes import Reason, Refusal, not_run
from basilhill.queries.admission import (
    SATURATED_UTILISATION,
    busy_until,
    delay_target_ms,
    demand_level,
    expected_wait_ms,
    has_free_slot,
    mean_delay_ms,
    open_cohorts,
    order_key,
    passes_level,
    queue_key,
    slot_time_ms,
    utilisation,
    wait_limit_ms,
)

SLOT_TIME_WEIGHT = 0.2
DENSITY_WEIGHT = 0.1
# The demand of a class that origin nodes refuse cannot be measured. Its estimate halves in about
# 3 s, which admits the class again; if that overloads the server, the queue delay rises.
DENSITY_DECAY = 0.98
IDLE_DENSITY_DECAY = 0.9
IDLE_UTILISATION = 0.5
MIN_OPEN_COHORTS = 8
LEVEL_WEIGHT = 0.5
# A single window with a high queue delay is a burst that the queue absorbs.
MIN_DELAYED_WINDOWS = 2
UTILISATION_WEIGHT = 0.3
HEADROOM_MIN, HEADROOM_MAX = 0.8, 1.4
HEADROOM_DOWN, HEADROOM_UP = 0.98, 1.05
MIN_PROCESSING_ROTATION_MS = 60_000


@frozen
class Admission:
    """Result of admission: whether the call starts, and the id of the queued call it displaced."""

    started: bool
    dropped: str = ""


def admit_call(
    state: AdmissionState,
    call_id: str,
    call: str,
    context: CallContext,
    now_ms: int,
    usual_ms: float = 0.0,
) -> Result[Admission, Refusal]:
    """Start a call, queue it, or return the refusal."""
    run_ms = slot_time_ms(state, call, usual_ms)
    if context.priority >= max(state.levels):
        state.window.arrivals[(context.priority_class, call)] += 1
    if not passes_level(context, state.level):
        return Error(not_run(Reason.OVERLOADED, f"below admission level {state.level}"))
    state.sequence += 1
    key = queue_key(state, context)
    wait_ms = expected_wait_ms(state, key)
    if now_ms + wait_ms + run_ms >= context.deadline_ms:
        return Error(not_run(Reason.DEADLINE, "the call cannot finish in its remaining time"))
    if context.depth > 0 and wait_ms > wait_limit_ms(state, context):
        # A waiting internal call occupies slots of upstream services, so it is refused immediately.
        close_lower_classes(state, context)
        return Error(not_run(Reason.OVERLOADED, "no slot is expected to become free in time"))
    if has_free_slot(state):
        state.window.delays_ms.append(0)
        occupy_slot(state, now_ms)
        return Ok(Admission(True))
    dropped = ""
    if len(state.queue) >= state.queue_limit:
        if not state.queue or key <= state.queue[0].key:
            close_lower_classes(state, context)
            return Error(not_run(Reason.OVERLOADED, "the queue is full"))
        dropped = state.queue[0].call_id
        drop_queued(state, dropped, now_ms)
    queued = QueuedCall(key, call_id, context, now_ms)
    insort(state.queue, queued, key=order_key)
    state.waiting[call_id] = queued
    return Ok(Admission(False, dropped))


def start_queued(state: AdmissionState, queued: QueuedCall, now_ms: int) -> None:
    remove_queued(state, queued.call_id)
    state.window.delays_ms.append(now_ms - queued.enqueued_ms)
    occupy_slot(state, now_ms)


def drop_queued(state: AdmissionState, call_id: str, now_ms: int) -> None:
    """Remove a queued call that gets no slot because of overload."""
    queued = state.waiting.get(call_id)
    if queued is not None:
        remove_queued(state, call_id)
        state.window.delays_ms.append(now_ms - queued.enqueued_ms)
        close_lower_classes(state, queued.context)


def remove_queued(state: AdmissionState, call_id: str) -> None:
    """Remove a call from the queue; do nothing if it is not queued."""
    queued = state.waiting.pop(call_id, None)
    if queued is not None:
        del state.queue[bisect_left(state.queue, queued.key, key=order_key)]


def close_lower_classes(state: AdmissionState, context: CallContext) -> None:
    """Raise the admission level so that it admits no class below that of a call without a slot."""
    state.level = max(state.level, context.priority_class * COHORTS)


def occupy_slot(state: AdmissionState, now_ms: int) -> None:
    update_busy_time(state, now_ms)
    state.in_flight += 1


def free_slot(state: AdmissionState, now_ms: int) -> None:
    update_busy_time(state, now_ms)
    state.in_flight -= 1


def update_busy_time(state: AdmissionState, now_ms: int) -> None:
    """Add the slot time used since the number of calls in flight last changed."""
    state.busy_ms = busy_until(state, now_ms)
    state.busy_changed_ms = now_ms


def record_times(
    state: AdmissionState, call: str, duration_ms: int, processing_ms: int, now_ms: int
) -> None:
    """Update the estimates from a completed call: its slot time and its own processing time."""
    processing_ms = max(1, processing_ms)
    times = state.times.get(call)
    if times is None:
        times = state.times[call] = CallTimes(duration_ms, processing_ms, processing_ms, now_ms)
    if now_ms - times.rotated_ms >= MIN_PROCESSING_ROTATION_MS:
        times.min_processing_ms, times.next_min_processing_ms = (
            times.next_min_processing_ms,
            processing_ms,
        )
        times.rotated_ms = now_ms
    times.min_processing_ms = min(times.min_processing_ms, processing_ms)
    times.next_min_processing_ms = min(times.next_min_processing_ms, processing_ms)
    times.slot_time_ms += SLOT_TIME_WEIGHT * (duration_ms - times.slot_time_ms)
    state.service_ms += (SLOT_TIME_WEIGHT if state.service_ms else 1.0) * (
        duration_ms - state.service_ms
    )
    latency_inflation = processing_ms / times.min_processing_ms
    state.latency_inflation += SLOT_TIME_WEIGHT * (latency_inflation - state.latency_inflation)
    state.period.latency_inflation_sum += latency_inflation
    state.period.calls += 1


def adjust_cohort_level(state: AdmissionState, now_ms: int) -> None:
    """Adjust the admission level to the queue delay and the demand of the last window."""
    estimate_demand(state, now_ms)
    used_share = utilisation(state, now_ms)
    state.used_share += UTILISATION_WEIGHT * (used_share - state.used_share)
    is_delayed = mean_delay_ms(state, now_ms) > delay_target_ms(state)
    state.delayed_windows = state.delayed_windows + 1 if is_delayed else 0
    overloaded = state.delayed_windows >= MIN_DELAYED_WINDOWS
    if overloaded:
        state.headroom = max(HEADROOM_MIN, state.headroom * HEADROOM_DOWN)
    elif used_share < SATURATED_UTILISATION:
        state.headroom = min(HEADROOM_MAX, state.headroom * HEADROOM_UP)
    if overloaded or state.level > 0:
        target_level = demand_level(state)
        if overloaded or target_level < state.level:
            state.level = round(state.level + LEVEL_WEIGHT * (target_level - state.level))
    state.levels.append(state.level)
    state.window = LevelWindow(now_ms)
    state.window_busy_ms = busy_until(state, now_ms)


def estimate_demand(state: AdmissionState, now_ms: int) -> None:
    """Estimate the arrivals per ms and cohort of each kind.

    Only cohorts that were admitted in each of the last CEILING_WINDOWS windows are measured.
    """
    window_ms = max(1, now_ms - state.window.started_ms)
    ceiling = max(state.levels)
    decay = IDLE_DENSITY_DECAY if state.used_share < IDLE_UTILISATION else DENSITY_DECAY
    for kind in state.densities.keys() | state.window.arrivals.keys():
        density = state.densities.get(kind, 0.0)
        cohorts = open_cohorts(kind[0], ceiling)
        if cohorts < MIN_OPEN_COHORTS:
            state.densities[kind] = density * decay
        else:
            measured = state.window.arrivals[kind] / window_ms / cohorts
            state.densities[kind] = density + DENSITY_WEIGHT * (measured - density)
