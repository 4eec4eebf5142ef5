"""Counters and latencies per kind of customer action."""

from collections import Counter

from attrs import define, field
from basilhill.verdicts import CallReply, Reason, Refusal, Verdict, verdict_of
from hdrh.histogram import HdrHistogram

# Steps of 8 us and 4-byte counters take 12 kB per kind of action; 1 us and 8 bytes took 26 kB.
LOWEST_US = 8
HIGHEST_US = 600_000_000
COUNTER_BYTES = 4
SERVER_ERROR = 500
PERCENTILES = (50, 90, 99, 99.9)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, 2, word_size=COUNTER_BYTES)


@define
class ActionMetrics:
    """Count the outcomes of one kind of customer action."""

    verdicts: dict[Verdict, int] = field(factory=lambda: dict.fromkeys(Verdict, 0))
    reasons: Counter[Reason] = field(factory=Counter)
    # Answers with a status from 500: the action ran and did not complete.
    failed: int = 0
    retries: int = 0
    # Of answers only: refusals are fast and would hide how long callers wait.
    latency_us: HdrHistogram = field(factory=new_histogram)
    latency_sum_us: int = 0


@define
class Metrics:
    """Hold the metrics of one node."""

    actions: dict[str, ActionMetrics] = field(factory=dict)
    refusals: Counter[Reason] = field(factory=Counter)

    def record_action(self, action: str, reply: CallReply, duration_us: int) -> None:
        """Count one finished customer action and its duration in microseconds."""
        metrics = self.actions.get(action)
        if metrics is None:
            metrics = self.actions[action] = ActionMetrics()
        metrics.verdicts[verdict_of(reply.outcome)] += 1
        metrics.retries += reply.retries_spent
        if reply.outcome.is_error():
            metrics.reasons[reply.outcome.error.reason] += 1
            return
        if reply.outcome.ok.status >= SERVER_ERROR:
            metrics.failed += 1
        metrics.latency_us.record_value(min(max(1, duration_us), HIGHEST_US))
        metrics.latency_sum_us += duration_us

    def record_refusal(self, refusal: Refusal) -> None:
        """Count one request that was refused before it was a customer action."""
        self.refusals[refusal.reason] += 1
