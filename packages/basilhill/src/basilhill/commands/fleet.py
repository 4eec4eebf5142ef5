"""Apply fleet lists and heartbeats to what a node knows."""

from collections.abc import Iterable

from basilhill.commands.routing import drop_subsets, record_levels
from basilhill.fleet import FleetView, Heartbeat, VmEntry, VmState
from basilhill.loads import RoutingTable, ServerLoad


def apply_fleet_list(
    fleet: FleetView,
    routing: RoutingTable,
    entries: Iterable[VmEntry],
    called: frozenset[str],
    now_ms: int,
) -> None:
    """Replace the fleet list and the servers to route to."""
    fleet.vms = {entry.node: entry for entry in entries}
    known = frozenset(routing.servers)
    for node in list(routing.servers):
        if node not in fleet.vms:
            del routing.servers[node]
    for entry in fleet.vms.values():
        if entry.service not in called:
            continue
        server = routing.servers.get(entry.node)
        if server is None:
            server = ServerLoad(entry.node, entry.service, entry.data_centre, now_ms)
            routing.servers[entry.node] = server
        server.leaving = server.leaving or entry.state is VmState.LEAVING
    if known != frozenset(routing.servers):
        drop_subsets(routing)


def record_heartbeat(
    routing: RoutingTable, node: str, heartbeat: Heartbeat, now_ms: int, lease_ms: int
) -> None:
    """Renew the lease of a peer and store its load."""
    server = routing.servers.get(node)
    if server is None:
        return
    server.lease_until_ms = now_ms + lease_ms
    server.leaving = heartbeat.state is VmState.LEAVING
    server.level = heartbeat.level
    server.level_ms = now_ms
    server.reported_in_flight = heartbeat.in_flight
    server.reported_limit = heartbeat.limit
    server.in_flight_at_report = server.in_flight
    record_levels(routing, node, heartbeat.levels, now_ms)
