"""Readiness of a node for requests."""

from basilhill_node.sidecar.state import ActiveConfiguration, NodeLifecycle


def is_ready(life: NodeLifecycle, in_force: ActiveConfiguration) -> bool:
    """Return whether a node has a configuration and is not leaving."""
    return not life.leaving and in_force.configuration is not None
