"""Admit, queue, start and end calls of one server."""

from enum import Enum

from expression import Error, Ok, Result

from basilhill.admission import AdmissionState, QueuedCall
from basilhill.calls import MAX_PRIORITY, CallContext
from basilhill.queries.admission import expected_wait_ms, passes_level, queue_key
from basilhill.verdicts import Reason, Refusal, not_run

SERVICE_TIME_WEIGHT = 0.1
QUEUE_DELAY_TARGET_MS = 20
LEVEL_STEP_UP = 8
LEVEL_STEP_DOWN = 8


class Admission(Enum):
    """Tell whether an admitted call may start."""

    START = "start"
    WAIT = "wait"


def admit_call(
    state: AdmissionState, call_id: str, context: CallContext, now_ms: int
) -> Result[Admission, Refusal]:
    """Take a slot, join the queue or refuse a call."""
    if not passes_level(context, state.level):
        return Error(not_run(Reason.OVERLOADED, f"below admission level {state.level}"))
    if now_ms + expected_wait_ms(state) + state.service_ms >= context.deadline_ms:
        return Error(not_run(Reason.DEADLINE, "the call cannot finish in its remaining time"))
    if state.in_flight < int(state.limit) and not state.queue:
        state.in_flight += 1
        return Ok(Admission.START)
    if len(state.queue) >= state.queue_limit:
        return Error(not_run(Reason.OVERLOADED, "the queue is full"))
    state.sequence += 1
    state.queue[call_id] = QueuedCall(queue_key(state, context), call_id, context, now_ms)
    return Ok(Admission.WAIT)


def start_queued(state: AdmissionState, queued: QueuedCall, now_ms: int) -> None:
    """Move a waiting call into a slot."""
    del state.queue[queued.call_id]
    state.window_delays_ms.append(now_ms - queued.enqueued_ms)
    state.in_flight += 1


def leave_queue(state: AdmissionState, call_id: str) -> None:
    """Remove a call that no longer waits."""
    state.queue.pop(call_id, None)


def end_call(state: AdmissionState, service_ms: int | None) -> None:
    """Free the slot of a call and learn from its duration, if it completed."""
    state.in_flight -= 1
    if service_ms is not None:
        state.service_ms += SERVICE_TIME_WEIGHT * (service_ms - state.service_ms)


def adjust_level(state: AdmissionState) -> None:
    """Move the admission level by the queue delay since the last adjustment."""
    delays = state.window_delays_ms
    if delays and min(delays) > QUEUE_DELAY_TARGET_MS:
        state.level = min(MAX_PRIORITY, state.level + LEVEL_STEP_UP)
    else:
        state.level = max(0, state.level - LEVEL_STEP_DOWN)
    state.window_delays_ms = []
