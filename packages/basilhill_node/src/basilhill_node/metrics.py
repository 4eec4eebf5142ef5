"""Counters and latencies per kind of customer action."""

from collections import Counter

from attrs import define, field
from basilhill.outcomes import (
    CallReply,
    ExecutionStatus,
    Outcome,
    Reason,
    Refusal,
    execution_status_of,
)
from hdrh.histogram import HdrHistogram

# 8 us steps and 4-byte counters need 12 kB per kind of action; 1 us and 8 bytes would need 26 kB.
LOWEST_US = 8
HIGHEST_US = 600_000_000
COUNTER_BYTES = 4
# Bits for two significant decimal digits, the precision of the histograms.
SIGNIFICANT_BITS = 8
SERVER_ERROR = 500
ANSWERED = ExecutionStatus.ANSWERED.value
PERCENTILES = (50, 90, 99, 99.9)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, 2, word_size=COUNTER_BYTES)


def round_to_precision(duration_us: int) -> int:
    """Return a duration rounded down to the precision of the histogram."""
    shift = max(0, duration_us.bit_length() - SIGNIFICANT_BITS)
    return duration_us >> shift << shift


@define
class ActionMetrics:
    """Counters and latencies of one kind of customer action."""

    execution_statuses: dict[ExecutionStatus, int] = field(
        factory=lambda: dict.fromkeys(ExecutionStatus, 0)
    )
    reasons: Counter[Reason] = field(factory=Counter)
    # Responses with status 500 or above: the action ran and did not complete.
    failed: int = 0
    retries: int = 0
    # Covers backend responses only, because fast refusals would hide slow responses.
    recorded_us: HdrHistogram = field(factory=new_histogram)
    # Durations not yet in the histogram, because recording each one separately is slow.
    unrecorded_us: Counter[int] = field(factory=Counter)
    latency_sum_us: int = 0

    @property
    def latency_us(self) -> HdrHistogram:
        """Return the histogram after adding the pending durations, in microseconds."""
        for duration_us, count in self.unrecorded_us.items():
            self.recorded_us.record_value(duration_us, count)
        self.unrecorded_us.clear()
        return self.recorded_us


@define
class Metrics:
    """Metrics of one node."""

    actions: dict[str, ActionMetrics] = field(factory=dict)
    refusals: Counter[Reason] = field(factory=Counter)
    # Requests by workspace and result, which is a reason for those without an answer.
    workspaces: Counter[tuple[str, str]] = field(factory=Counter)
    # Refused and closed connections of clients by cause.
    client_refusals: Counter[str] = field(factory=Counter)
    # Calls to other data centres and the bytes of their bodies, by reason.
    crossings: Counter[str] = field(factory=Counter)
    crossing_bytes: Counter[str] = field(factory=Counter)

    def record_action(self, action: str, reply: CallReply, duration_us: int) -> None:
        """Count one finished customer action and its duration in microseconds."""
        metrics = self.actions.get(action)
        if metrics is None:
            metrics = self.actions[action] = ActionMetrics()
        metrics.execution_statuses[execution_status_of(reply.outcome)] += 1
        metrics.retries += reply.retries_spent
        if reply.outcome.is_error():
            metrics.reasons[reply.outcome.error.reason] += 1
            return
        if reply.outcome.ok.status >= SERVER_ERROR:
            metrics.failed += 1
        metrics.unrecorded_us[round_to_precision(min(max(1, duration_us), HIGHEST_US))] += 1
        metrics.latency_sum_us += duration_us

    def record_crossing(self, reason: str, body_bytes: int) -> None:
        """Count a call to a server of another data centre."""
        self.crossings[reason] += 1
        self.crossing_bytes[reason] += body_bytes

    def record_workspace(self, workspace: str, outcome: Outcome) -> None:
        """Count one finished request of a workspace."""
        result = ANSWERED if outcome.is_ok() else outcome.error.reason.value
        self.workspaces[workspace, result] += 1

    def record_refusal(self, refusal: Refusal) -> None:
        """Count one request that was refused before it became a customer action."""
        self.refusals[refusal.reason] += 1
