"""Determine which nodes read the platform for their data centre."""

from basilhill.queries.fleet import is_down, select_readers

from basilhill_node.state import NodeState


def down_nodes(node: NodeState, wait_ms: int = 0) -> frozenset[str]:
    """Return the peers whose lease expired at least `wait_ms` ago."""
    now_ms, fleet = node.clock.now_ms(), node.fleet
    return frozenset(peer for peer in fleet.leases if is_down(fleet, peer, now_ms, wait_ms))


def reader_order(node: NodeState) -> list[str]:
    """Return the nodes of the local data centre in the order in which they become readers."""
    return node.fleet.orders.get(node.settings.data_centre, [])


def is_reader(node: NodeState) -> bool:
    """Return whether this node reads the platform for its data centre."""
    down = down_nodes(node, node.takeover_delay_ms) - {node.settings.node}
    readers = select_readers(reader_order(node), down, node.settings.configuration_readers)
    return node.settings.node in readers


def choose_distant_reader(node: NodeState) -> set[str]:
    """Return a random reader of a random other data centre; empty if there is none."""
    centres = sorted(node.fleet.orders.keys() - {node.settings.data_centre})
    if not centres:
        return set()
    order = node.fleet.orders[node.random.choice(centres)]
    readers = select_readers(order, down_nodes(node), node.settings.configuration_readers)
    return {node.random.choice(readers)} if readers else set()
