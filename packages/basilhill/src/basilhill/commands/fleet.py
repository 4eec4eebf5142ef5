"""Apply fleet lists and heartbeats to the fleet view and routing table of a node."""

from collections.abc import Iterable

from basilhill.commands.routing import drop_subsets, record_levels
from basilhill.fleet import FleetReads, FleetView, Heartbeat, PeerLease, VmEntry, VmState
from basilhill.loads import RoutingTable, ServerLoad
from basilhill.queries.fleet import differs_from_stored, rendezvous_orders
from basilhill.sections import SectionTable


def apply_fleet_list(
    fleet: FleetView,
    routing: RoutingTable,
    entries: Iterable[VmEntry],
    called: frozenset[str],
    now_ms: int,
) -> None:
    """Replace the fleet list and update the servers of the called services."""
    fleet.vms = {entry.node: entry for entry in entries}
    known = frozenset(routing.servers)
    fleet.orders = rendezvous_orders(fleet.vms.values())
    fleet.incarnations = {n: i for n, i in fleet.incarnations.items() if n in fleet.vms}
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
        # A heartbeat with state "leaving" takes precedence over a list that is older than it.
        reported_leaving = server.leaving and not server.listed_leaving
        server.listed_leaving = entry.state is VmState.LEAVING
        server.leaving = reported_leaving or server.listed_leaving
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
    server.leaving = heartbeat.state is VmState.LEAVING or server.listed_leaving
    server.level = heartbeat.level
    server.level_ms = now_ms
    server.reported_in_flight = heartbeat.in_flight
    if server.reported_limit == 0 and heartbeat.limit > 0:
        # A limit of 0 means that the backend server was down, so it has restarted since.
        server.restarted_ms = now_ms
    server.reported_limit = heartbeat.limit
    server.in_flight_at_report = server.in_flight
    record_levels(routing, node, heartbeat.levels, now_ms)


def renew_lease(fleet: FleetView, node: str, digest: str, now_ms: int, lease_ms: int) -> None:
    """Mark a peer as up for `lease_ms` from now."""
    fleet.leases[node] = PeerLease(now_ms + lease_ms, digest)


def end_lease(fleet: FleetView, routing: RoutingTable, node: str, now_ms: int) -> None:
    """Mark a peer as down because its stream ended or cannot be opened."""
    lease = fleet.leases.get(node)
    # Each failed connection attempt calls this; the peer has been down since the first one.
    fleet.leases[node] = PeerLease(min(now_ms, lease.until_ms) if lease else now_ms)
    server = routing.servers.get(node)
    if server is not None and server.lease_until_ms != 0:
        server.lease_until_ms = min(server.lease_until_ms, now_ms)


def remove_lease(fleet: FleetView, routing: RoutingTable, node: str) -> None:
    """Mark the state of a peer as unknown because this node closed its stream."""
    fleet.leases.pop(node, None)
    server = routing.servers.get(node)
    if server is not None:
        server.lease_until_ms = 0


def record_incarnation(
    fleet: FleetView, routing: RoutingTable, node: str, incarnation: str, now_ms: int
) -> bool:
    """Store the incarnation of a peer; return whether it restarted.

    A restart invalidates the lease and the reports of the previous incarnation.
    """
    earlier = fleet.incarnations.get(node)
    fleet.incarnations[node] = incarnation
    if earlier in (None, incarnation):
        return False
    remove_lease(fleet, routing, node)
    server = routing.servers.get(node)
    if server is not None:
        server.leaving, server.failures, server.ejected_until_ms = server.listed_leaving, 0, 0
        server.level = server.level_ms = server.reported_in_flight = 0
        server.restarted_ms = now_ms
    return True


def discard_peer_reports(fleet: FleetView, routing: RoutingTable) -> None:
    """Discard leases and level reports, whose age is unknown after a pause of the process."""
    fleet.leases.clear()
    routing.levels.clear()
    for server in routing.servers.values():
        server.lease_until_ms = server.level = server.level_ms = server.reported_in_flight = 0


def record_fleet_read(reads: FleetReads, table: SectionTable, read: dict[str, str]) -> None:
    """Store the shards of a read and count consecutive reads that differ from the stored ones."""
    reads.differing = {
        shard: reads.differing.get(shard, 0) + 1
        for shard in read
        if differs_from_stored(table, shard, read[shard])
    }
    reads.texts = read
