"""Counters and latencies per kind of customer action in the exposition format."""

from collections.abc import Iterator

from basilhill.outcomes import ExecutionStatus
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily

from basilhill_node.metrics import PERCENTILES, ActionMetrics, Metrics


def action_counters(node_metrics: Metrics) -> Iterator[CounterMetricFamily]:
    """Yield the counters of outcomes per kind of customer action."""
    statuses = CounterMetricFamily(
        "basilhill_actions", "Customer actions by verdict", labels=["action", "verdict"]
    )
    reasons = CounterMetricFamily(
        "basilhill_action_refusals", "Refused actions by reason", labels=["action", "reason"]
    )
    failed = CounterMetricFamily(
        "basilhill_actions_failed", "Answers with a status from 500", labels=["action"]
    )
    retries = CounterMetricFamily(
        "basilhill_retries", "Retries spent, whole call chains", labels=["action"]
    )
    for action, metrics in node_metrics.actions.items():
        for status in ExecutionStatus:
            statuses.add_metric([action, status.value], metrics.execution_statuses[status])
        for reason, count in metrics.reasons.items():
            reasons.add_metric([action, reason.value], count)
        failed.add_metric([action], metrics.failed)
        retries.add_metric([action], metrics.retries)
    yield from (statuses, reasons, failed, retries)


def client_refusal_counter(node_metrics: Metrics) -> CounterMetricFamily:
    """Return the refused and closed connections of clients by cause."""
    family = CounterMetricFamily(
        "basilhill_client_refusals", "Refused or closed client connections", labels=["cause"]
    )
    for cause, count in node_metrics.client_refusals.items():
        family.add_metric([cause], count)
    return family


def latency_summary(node_metrics: Metrics) -> SummaryMetricFamily:
    """Return the response times per kind of customer action, in seconds."""
    family = SummaryMetricFamily(
        "basilhill_action_latency_seconds", "Time to an answer", labels=["action"]
    )
    for action, metrics in node_metrics.actions.items():
        add_latencies(family, action, metrics)
    return family


def add_latencies(family: SummaryMetricFamily, action: str, metrics: ActionMetrics) -> None:
    """Add the percentiles, count and sum of one kind of action."""
    histogram = metrics.latency_us
    count = histogram.get_total_count()
    if count:
        values = histogram.get_percentile_to_value_dict(PERCENTILES)
        for percentile, value in values.items():
            labels = {"action": action, "quantile": f"{percentile / 100:g}"}
            family.add_sample(family.name, labels, value / 1e6)
    family.add_metric([action], count, metrics.latency_sum_us / 1e6)
