"""Readiness of a node for requests."""

from basilhill_node.sidecar.state import ActiveConfiguration, NodeLifecycle


def is_ready(lifecycle: NodeLifecycle, active_configuration: ActiveConfiguration) -> bool:
    """Return whether a node has a configuration and is not leaving."""
    return not lifecycle.leaving and active_configuration.configuration is not None
