"""Adapt the concurrency limit of a backend server to its measured latency."""

from basilhill.admission import AdmissionState, LimitPeriod, LimitProbe
from basilhill.queries.admission import SATURATED_UTILISATION, busy_until

PERIOD_MS = 500
MIN_PERIOD_CALLS = 10
CONGESTED_INFLATION = 2.0
NORMAL_INFLATION = 1.5
PROBE_FACTOR = 0.9
# Elasticity of service times: 1 if they are proportional to concurrency, 0 if independent of it.
MIN_ELASTICITY = 0.5
PROBE_PAUSE_MS = 5_000
PROBE_PAUSE_MAX_MS = 60_000
RISE_FACTOR = 1.1
MIN_LIMIT_SHARE = 0.1


def adjust_limit(state: AdmissionState, now_ms: int) -> None:
    """Lower the limit while that does not reduce throughput; raise it once latency is normal."""
    if (
        state.limit < state.slots
        and state.probe is None
        and state.latency_inflation < NORMAL_INFLATION
    ):
        state.limit = min(state.slots, max(state.limit + 1, state.limit * RISE_FACTOR))
    period = state.period
    elapsed_ms = now_ms - period.started_ms
    if elapsed_ms < max(PERIOD_MS, 2 * state.service_ms) or period.calls < MIN_PERIOD_CALLS:
        return
    latency_inflation = period.latency_inflation_sum / period.calls
    mean_in_flight = (busy_until(state, now_ms) - period.busy_ms) / elapsed_ms
    state.period = LimitPeriod(now_ms, busy_ms=busy_until(state, now_ms))
    if state.probe is not None:
        evaluate_probe(state, mean_in_flight, latency_inflation, now_ms)
    elif (
        latency_inflation > CONGESTED_INFLATION
        and mean_in_flight >= SATURATED_UTILISATION * state.limit
        and now_ms >= state.probe_after_ms
    ):
        state.probe = LimitProbe(state.limit, mean_in_flight, latency_inflation)
        state.limit = max(1.0, MIN_LIMIT_SHARE * state.slots, state.limit * PROBE_FACTOR)


def evaluate_probe(
    state: AdmissionState, mean_in_flight: float, latency_inflation: float, now_ms: int
) -> None:
    """Keep a lowered limit if latency inflation fell with it, else restore the previous limit.

    On a congested server service times fall with concurrency. On other servers they do not, and a
    lower limit only reduces throughput.
    """
    probe = state.probe
    if not probe.transition_ended:
        # This period still contains calls that started under the previous limit.
        probe.transition_ended = True
        return
    state.probe = None
    concurrency_ratio = max(1.0, probe.mean_in_flight / max(0.01, mean_in_flight))
    if (
        probe.latency_inflation / latency_inflation > concurrency_ratio**MIN_ELASTICITY
        and concurrency_ratio > 1.0
    ):
        state.probe_pause_ms = 0
        return
    state.limit = probe.limit
    doubled_ms = 2 * state.probe_pause_ms
    state.probe_pause_ms = min(PROBE_PAUSE_MAX_MS, max(PROBE_PAUSE_MS, doubled_ms))
    state.probe_after_ms = now_ms + state.probe_pause_ms
