"""Report the state of a node."""

from typing import Any

from basilhill_node.queries.readers import is_reader
from basilhill_node.state import NodeState


def is_ready(node: NodeState) -> bool:
    """Tell whether the node can serve calls."""
    return bool(node.document.services and node.routing.servers) and not node.leaving


def node_status(node: NodeState) -> dict[str, Any]:
    """Return the state of a node for its operators."""
    return {
        "node": node.settings.node,
        "incarnation": node.incarnation,
        "service": node.settings.service,
        "data_centre": node.settings.data_centre,
        "leaving": node.leaving,
        "leaving_causes": sorted(node.leaving_causes),
        "reader": is_reader(node),
        "level": node.admission.level,
        "in_flight": node.admission.in_flight,
        "queued": len(node.admission.queue),
        "limit": node.admission.limit,
        "sections": {team: section.revision for team, section in node.sections.items()},
        "refused": {
            team: [str(problem) for problem in refused.problems]
            for team, refused in node.refused.items()
        },
    }
