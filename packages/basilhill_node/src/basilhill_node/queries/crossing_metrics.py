"""Counters of the calls that leave the data centre, in the exposition format."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily

from basilhill_node.metrics import Metrics


def crossing_counters(metrics: Metrics) -> Iterator[CounterMetricFamily]:
    """Yield the calls to other data centres, and the bytes of their bodies, by reason."""
    calls = CounterMetricFamily(
        "basilhill_crossings", "Calls to other data centres by reason", labels=["reason"]
    )
    sizes = CounterMetricFamily(
        "basilhill_crossing_bytes", "Bytes of the bodies of these calls", labels=["reason"]
    )
    for reason, count in metrics.crossings.items():
        calls.add_metric([reason], count)
        sizes.add_metric([reason], metrics.crossing_bytes[reason])
    yield from (calls, sizes)
