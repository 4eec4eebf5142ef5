"""Report the load and the admission levels of a node to its peers."""

from basilhill.documents import CallPolicy
from basilhill.fleet import Heartbeat, VmState
from basilhill.outcomes import ServiceLevel
from basilhill.queries.documents import called_services
from basilhill.queries.routing import known_levels

from basilhill_node.state import NodeState


def build_heartbeat(node: NodeState) -> Heartbeat:
    """Return the state and load of a node; limit 0 means that its backend server is down."""
    admission = node.admission
    return Heartbeat(
        VmState.LEAVING if node.leaving else VmState.LIVE,
        admission.level,
        admission.in_flight + len(admission.queue),
        int(admission.limit) if admission.backend_available else 0,
        levels=downstream_levels(node),
    )


def downstream_levels(node: NodeState) -> tuple[ServiceLevel, ...]:
    """Return the known levels of all services that calls of this node's service may reach."""
    policy = node.document.services.get(node.settings.service)
    services: set[str] = set()
    for call in policy.calls.values() if policy else ():
        services |= called_services(node.document, call)
    now_ms = node.clock.now_ms()
    return known_levels(node.routing, sorted(services), now_ms, node.settings.level_lifetime_ms)


def call_path_levels(node: NodeState, call: CallPolicy) -> tuple[ServiceLevel, ...]:
    """Return the levels of the local server and of the services further down the call path."""
    services = called_services(node.document, call)
    now_ms, lifetime_ms = node.clock.now_ms(), node.settings.level_lifetime_ms
    local_level = ServiceLevel(node.settings.service, node.admission.level)
    return (local_level, *known_levels(node.routing, services, now_ms, lifetime_ms))
