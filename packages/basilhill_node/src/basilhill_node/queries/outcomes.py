"""Report the outcomes of customer actions."""

from typing import Any

from basilhill.outcomes import ExecutionStatus

from basilhill_node.metrics import PERCENTILES, ActionMetrics
from basilhill_node.state import NodeState


def outcomes(node: NodeState, service: str = "") -> dict[str, Any]:
    """Return the outcomes per kind of action since the start, of one service or of all."""
    return {
        "node": node.settings.node,
        "incarnation": node.incarnation,
        "actions": {
            action: action_outcomes(node, action, metrics)
            for action, metrics in sorted(node.metrics.actions.items())
            if not service or entry_service(node, action) == service
        },
        "refused_requests": {
            reason.value: count for reason, count in node.metrics.refusals.items()
        },
    }


def entry_service(node: NodeState, action: str) -> str:
    """Return the service of an action's entry call, empty if the document lacks the action."""
    policy = node.document.actions.get(action)
    return policy.entry.split(".")[0] if policy is not None else ""


def action_outcomes(node: NodeState, action: str, metrics: ActionMetrics) -> dict[str, Any]:
    """Return the outcomes of one kind of action; latencies are in milliseconds."""
    policy = node.document.actions.get(action)
    return {
        "service": entry_service(node, action),
        "class": policy.priority_class.name.lower() if policy is not None else "",
        "completed": metrics.execution_statuses[ExecutionStatus.ANSWERED] - metrics.failed,
        "failed": metrics.failed,
        "not_run": metrics.execution_statuses[ExecutionStatus.NOT_RUN],
        "may_have_run": metrics.execution_statuses[ExecutionStatus.MAY_HAVE_RUN],
        "retries": metrics.retries,
        "reasons": {reason.value: count for reason, count in metrics.reasons.items()},
        "latency_ms": latencies_ms(metrics),
    }


def latencies_ms(metrics: ActionMetrics) -> dict[str, float]:
    """Return percentiles of the response time, in milliseconds."""
    if not metrics.latency_us.get_total_count():
        return {}
    values = metrics.latency_us.get_percentile_to_value_dict(PERCENTILES)
    return {f"p{percentile:g}": value / 1000 for percentile, value in values.items()}
