"""Tell whether a node should get requests."""

from basilhill_node.sidecar.state import ActiveConfiguration, NodeLifecycle


def is_ready(life: NodeLifecycle, in_force: ActiveConfiguration) -> bool:
    """Tell whether a node serves: it knows a configuration and is not leaving."""
    return not life.leaving and in_force.configuration is not None
