"""Report metrics in the Prometheus exposition format."""

from collections.abc import Iterator

from basilhill.verdicts import Verdict
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)

from basilhill_node.metrics import ActionMetrics
from basilhill_node.queries.outcomes import PERCENTILES
from basilhill_node.queries.status import is_ready
from basilhill_node.state import NodeState

HELP_OF_GAUGE = {
    "ready": "Whether the node can serve calls",
    "leaving": "Whether the node is leaving",
    "level": "Admission level; calls with a lower priority are refused",
    "in_flight": "Calls that run on the backend server",
    "queued": "Calls that wait for a slot",
    "limit": "Concurrency limit of the backend server",
    "open_calls": "Calls in flight in the node",
    "refused_sections": "Sections of the document that failed their check",
    "execution_records": "Executions kept by coordinator and executor",
}


def exposition(node: NodeState) -> bytes:
    """Return all metrics of a node."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(NodeCollector(node))
    return generate_latest(registry)


class NodeCollector:
    """Yield the metrics of a node."""

    def __init__(self, node: NodeState) -> None:
        self.node = node

    def collect(self) -> Iterator[Metric]:
        """Yield each metric family."""
        yield from gauges(self.node)
        yield from action_counters(self.node)
        yield latencies(self.node)
        refusals = CounterMetricFamily(
            "basilhill_refused_requests",
            "Requests refused before they were customer actions",
            labels=["reason"],
        )
        for reason, count in self.node.metrics.refusals.items():
            refusals.add_metric([reason.value], count)
        yield refusals


def gauges(node: NodeState) -> Iterator[GaugeMetricFamily]:
    """Yield what a node holds now."""
    values = {
        "ready": is_ready(node),
        "leaving": node.leaving,
        "level": node.admission.level,
        "in_flight": node.admission.in_flight,
        "queued": len(node.admission.queue),
        "limit": node.admission.limit,
        "open_calls": node.open_calls,
        "refused_sections": len(node.refused),
        "execution_records": len(node.coordinated.records) + len(node.executed.records),
    }
    for name, value in values.items():
        yield GaugeMetricFamily(f"basilhill_{name}", HELP_OF_GAUGE[name], value=float(value))


def action_counters(node: NodeState) -> Iterator[CounterMetricFamily]:
    """Yield the outcomes per kind of customer action."""
    verdicts = CounterMetricFamily(
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
    for action, metrics in node.metrics.actions.items():
        for verdict in Verdict:
            verdicts.add_metric([action, verdict.value], metrics.verdicts[verdict])
        for reason, count in metrics.reasons.items():
            reasons.add_metric([action, reason.value], count)
        failed.add_metric([action], metrics.failed)
        retries.add_metric([action], metrics.retries)
    yield from (verdicts, reasons, failed, retries)


def latencies(node: NodeState) -> SummaryMetricFamily:
    """Return the time to an answer per kind of customer action, in seconds."""
    family = SummaryMetricFamily(
        "basilhill_action_latency_seconds", "Time to an answer", labels=["action"]
    )
    for action, metrics in node.metrics.actions.items():
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
