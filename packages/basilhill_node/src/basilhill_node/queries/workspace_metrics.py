"""Counters of requests by workspace in the exposition format, with a bounded number of labels."""

from collections import Counter

from prometheus_client.core import CounterMetricFamily

from basilhill_node.metrics import Metrics

# Workspaces with a label of their own, those with the most requests; the others are summed up.
LABELLED = 20
OTHERS = "(others)"


def workspace_counters(metrics: Metrics) -> CounterMetricFamily:
    """Return the requests by workspace and result."""
    family = CounterMetricFamily(
        "basilhill_workspace_requests",
        "Requests by workspace and result; (others) are all but the largest workspaces",
        labels=["workspace", "result"],
    )
    for (workspace, result), count in sorted(bounded_counts(metrics.workspaces).items()):
        family.add_metric([workspace, result], count)
    return family


def bounded_counts(counts: Counter[tuple[str, str]]) -> Counter[tuple[str, str]]:
    """Return the counts of the largest workspaces and the sums of the others."""
    totals: Counter[str] = Counter()
    for (workspace, _), count in counts.items():
        totals[workspace] += count
    largest = {workspace for workspace, _ in totals.most_common(LABELLED)}
    bounded: Counter[tuple[str, str]] = Counter()
    for (workspace, result), count in counts.items():
        bounded[workspace if workspace in largest else OTHERS, result] += count
    return bounded
