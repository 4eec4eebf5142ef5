"""Report the state of a node."""

from typing import Any

from basilhill.documents import Problem

from basilhill_node.queries.platform_readers import is_reader
from basilhill_node.state import NodeState


def is_ready(node: NodeState) -> bool:
    """Return whether the node can serve calls."""
    return bool(node.document.services and node.routing.servers) and not node.leaving


def node_status(node: NodeState) -> dict[str, Any]:
    """Return the state of a node for operators."""
    return {
        "node": node.settings.node,
        "incarnation": node.incarnation,
        "service": node.settings.service,
        "data_centre": node.settings.data_centre,
        "ready": is_ready(node),
        "leaving": node.leaving,
        "leaving_causes": sorted(node.leaving_causes),
        "reader": is_reader(node),
        "level": node.admission.level,
        "in_flight": node.admission.in_flight,
        "queued": len(node.admission.queue),
        "limit": node.admission.limit,
        "open_calls": node.open_calls,
        "sections": {team: section.revision for team, section in node.sections.items()},
        "refused": {
            team: {
                "revision": refused.section.revision,
                "problems": [str(problem) for problem in refused.problems],
            }
            for team, refused in node.refused.items()
        },
    }


def configuration(node: NodeState) -> dict[str, Any]:
    """Return the active and the rejected sections with their texts."""
    return {
        "node": node.settings.node,
        "sections": {
            team: {"revision": section.revision, "text": section.text}
            for team, section in sorted(node.sections.items())
        },
        "refused": {
            team: {
                "revision": refused.section.revision,
                "text": refused.section.text,
                "problems": [problem_fields(problem) for problem in refused.problems],
            }
            for team, refused in sorted(node.refused.items())
        },
    }


def problem_fields(problem: Problem) -> dict[str, Any]:
    """Return a problem as JSON fields."""
    return {
        "team": problem.team,
        "key": problem.key,
        "line": problem.line,
        "text": problem.text,
        "correction": problem.correction,
        "severity": problem.severity.value,
    }
