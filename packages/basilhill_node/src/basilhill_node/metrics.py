"""Counters and latencies per kind of customer action."""

from attrs import define, field
from basilhill.verdicts import CallReply, Verdict, verdict_of
from hdrh.histogram import HdrHistogram

HIGHEST_US = 120_000_000


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_US, 2)


@define
class ActionMetrics:
    """Count the outcomes of one kind of customer action."""

    verdicts: dict[Verdict, int] = field(factory=lambda: dict.fromkeys(Verdict, 0))
    retries: int = 0
    latency_us: HdrHistogram = field(factory=new_histogram)


@define
class Metrics:
    """Hold the metrics of one node."""

    actions: dict[str, ActionMetrics] = field(factory=dict)

    def record_action(self, action: str, reply: CallReply, duration_us: int) -> None:
        """Count one finished customer action."""
        metrics = self.actions.setdefault(action, ActionMetrics())
        metrics.verdicts[verdict_of(reply.outcome)] += 1
        metrics.retries += reply.retries_spent
        metrics.latency_us.record_value(min(duration_us, HIGHEST_US))
