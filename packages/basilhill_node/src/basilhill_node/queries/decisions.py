"""Report the recorded decisions of a node."""

from typing import Any

from basilhill_node.state import NodeState


def find_decisions(node: NodeState, action_id: str) -> dict[str, Any]:
    """Return the recorded decisions for one action, with their age in milliseconds."""
    now_ms = node.clock.now_ms()
    return {
        "node": node.settings.node,
        "service": node.settings.service,
        "action": action_id,
        "decisions": [
            {
                "age_ms": now_ms - decision.time_ms,
                "part": decision.part,
                "choice": decision.choice,
                "reason": decision.reason,
            }
            for decision in node.log.decisions
            if decision.action_id == action_id
        ],
    }
