"""Report metrics in the Prometheus exposition format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from basilhill_node.queries.action_metrics import action_counters, latency_summary
from basilhill_node.queries.status import is_ready
from basilhill_node.state import NodeState

GAUGE_HELP = {
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
    """Return all metrics of a node in the text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(NodeCollector(node))
    return generate_latest(registry)


class NodeCollector:
    """Prometheus collector of the metrics of one node."""

    def __init__(self, node: NodeState) -> None:
        self.node = node

    def collect(self) -> Iterator[Metric]:
        yield from gauges(self.node)
        yield from action_counters(self.node.metrics)
        yield latency_summary(self.node.metrics)
        refusals = CounterMetricFamily(
            "basilhill_refused_requests",
            "Requests refused before they were customer actions",
            labels=["reason"],
        )
        for reason, count in self.node.metrics.refusals.items():
            refusals.add_metric([reason.value], count)
        yield refusals


def gauges(node: NodeState) -> Iterator[GaugeMetricFamily]:
    """Yield the current state and load of a node as gauges."""
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
        yield GaugeMetricFamily(f"basilhill_{name}", GAUGE_HELP[name], value=float(value))
