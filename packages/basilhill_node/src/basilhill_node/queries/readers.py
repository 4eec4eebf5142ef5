"""Tell which nodes watch the platform for their data centre."""

from basilhill.queries.fleet import is_down, readers_of

from basilhill_node.state import NodeState


def down_nodes(node: NodeState, wait_ms: int = 0) -> frozenset[str]:
    """Return the peers whose lease ended, at least some milliseconds ago."""
    now_ms, fleet = node.clock.now_ms(), node.fleet
    return frozenset(peer for peer in fleet.leases if is_down(fleet, peer, now_ms, wait_ms))


def own_order(node: NodeState) -> list[str]:
    """Return the nodes of the own data centre in the order of its readers."""
    return node.fleet.orders.get(node.settings.data_centre, [])


def is_reader(node: NodeState) -> bool:
    """Tell whether this node watches the platform for its data centre."""
    down = down_nodes(node, node.takeover_ms) - {node.settings.node}
    readers = readers_of(own_order(node), down, node.settings.configuration_readers)
    return node.settings.node in readers


def distant_reader(node: NodeState) -> set[str]:
    """Return one reader of another data centre."""
    centres = sorted(node.fleet.orders.keys() - {node.settings.data_centre})
    if not centres:
        return set()
    order = node.fleet.orders[node.random.choice(centres)]
    readers = readers_of(order, down_nodes(node), node.settings.configuration_readers)
    return {node.random.choice(readers)} if readers else set()
