"""Fit the concurrency limit of a server to its measured latency."""

from basilhill.admission import AdmissionState, LimitPeriod, LimitTrial
from basilhill.queries.admission import SATURATED, busy_until

PERIOD_MS = 500
PERIOD_CALLS = 10
CONGESTED_STRETCH = 2.0
CLEAR_STRETCH = 1.5
TRIAL_FACTOR = 0.9
# Service times in proportion to concurrency have elasticity 1, independent ones 0.
LEAST_ELASTICITY = 0.5
TRIAL_PAUSE_MS = 5_000
TRIAL_PAUSE_MAX_MS = 60_000
RISE_FACTOR = 1.1
LOWEST_SHARE = 0.1


def adjust_limit(state: AdmissionState, now_ms: int) -> None:
    """Lower the limit while that loses no work, and raise it again once latency is normal."""
    if state.limit < state.slots and state.trial is None and state.stretch < CLEAR_STRETCH:
        state.limit = min(state.slots, max(state.limit + 1, state.limit * RISE_FACTOR))
    period = state.period
    elapsed_ms = now_ms - period.started_ms
    if elapsed_ms < max(PERIOD_MS, 2 * state.service_ms) or period.calls < PERIOD_CALLS:
        return
    stretch = period.stretches / period.calls
    busy = (busy_until(state, now_ms) - period.busy_ms) / elapsed_ms
    state.period = LimitPeriod(now_ms, busy_ms=busy_until(state, now_ms))
    if state.trial is not None:
        judge_trial(state, busy, stretch, now_ms)
    elif (
        stretch > CONGESTED_STRETCH
        and busy >= SATURATED * state.limit
        and now_ms >= state.trial_after_ms
    ):
        state.trial = LimitTrial(state.limit, busy, stretch)
        state.limit = max(1.0, LOWEST_SHARE * state.slots, state.limit * TRIAL_FACTOR)


def judge_trial(state: AdmissionState, busy: float, stretch: float, now_ms: int) -> None:
    """Keep a lowered limit if calls became faster for it, else restore it.

    On a congested server service times fall as concurrency does; elsewhere they stay, and a
    lower limit only loses work.
    """
    trial = state.trial
    if not trial.settled:
        # Calls that started under the old limit end in this period.
        trial.settled = True
        return
    state.trial = None
    fewer = max(1.0, trial.busy / max(0.01, busy))
    if trial.stretch / stretch > fewer**LEAST_ELASTICITY and fewer > 1.0:
        state.trial_pause_ms = 0
        return
    state.limit = trial.limit
    doubled_ms = 2 * state.trial_pause_ms
    state.trial_pause_ms = min(TRIAL_PAUSE_MAX_MS, max(TRIAL_PAUSE_MS, doubled_ms))
    state.trial_after_ms = now_ms + state.trial_pause_ms
