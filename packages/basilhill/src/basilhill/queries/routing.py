"""Choose servers for calls and read the admission levels of services."""

from collections.abc import Iterable
from hashlib import blake2b
from random import Random
from statistics import median_low

from expression import Error, Ok, Result

from basilhill.calls import CallContext
from basilhill.documents import CallPolicy, Document
from basilhill.loads import RoutingTable, ServerLoad, Subset
from basilhill.outcomes import Reason, Refusal, ServiceLevel, not_run
from basilhill.queries.admission import passes_level
from basilhill.queries.documents import called_services

# Share of a subset reserved for servers of other data centres, to which excess calls are sent.
REMOTE_SHARE = 0.25
MIN_RAMP_SHARE = 0.1
# Servers first seen within this time after the oldest one are treated as warm, because they started
# before this node.
FIRST_SEEN_TOLERANCE_MS = 1_000
MAX_EJECTED_SHARE = 1 / 3


def find_subset(table: RoutingTable, service: str) -> Subset:
    """Return the servers of a service that this node uses, chosen by rendezvous hashing."""
    servers = [server for server in table.servers.values() if server.service == service]
    oldest_ms = min((server.first_seen_ms for server in servers), default=0)
    servers.sort(key=lambda server: rendezvous_hash(table.node, server.node))
    local = [server for server in servers if server.data_centre == table.data_centre]
    remote = [server for server in servers if server.data_centre != table.data_centre]
    reserved_remote = min(len(remote), int(table.subset_size * REMOTE_SHARE))
    local = local[: table.subset_size - reserved_remote]
    return Subset(local + remote[: table.subset_size - len(local)], oldest_ms)


def rendezvous_hash(node: str, server: str) -> bytes:
    """Return the rendezvous hash of a server for a node."""
    return blake2b(f"{node}/{server}".encode(), digest_size=8).digest()


def usable_servers(
    table: RoutingTable, subset: Subset, now_ms: int, excluded: frozenset[str] = frozenset()
) -> list[ServerLoad]:
    """Return the servers that may get new calls; degraded ones only if there is no other."""
    present = [
        server
        for server in subset.servers
        if not server.leaving
        and server.node not in excluded
        and table.servers.get(server.node) is server
    ]
    available = [server for server in present if server.reported_limit > 0]
    healthy = [
        s for s in available if s.ejected_until_ms <= now_ms and not has_expired_lease(s, now_ms)
    ]
    return healthy or available or present


def has_expired_lease(server: ServerLoad, now_ms: int) -> bool:
    """Return whether the lease of a server has expired; False if it never had one."""
    return 0 < server.lease_until_ms <= now_ms


def choose_server(
    table: RoutingTable,
    subset: Subset,
    context: CallContext,
    now_ms: int,
    random: Random,
    excluded: frozenset[str] = frozenset(),
    local_server_free: bool = False,
) -> Result[ServerLoad, Refusal]:
    """Return the local backend server if it is free, else the less loaded of two random ones."""
    usable = usable_servers(table, subset, now_ms, excluded)
    if not usable:
        return Error(not_run(Reason.NO_SERVER, "no server of the service is available"))
    if local_server_free:
        for server in usable:
            if server.node == table.node:
                return Ok(server)
    admitting = [s for s in usable if passes_level(context, s.level)] or usable
    loads = {server.node: load_of(table, subset, server, now_ms) for server in admitting}
    free = [server for server in admitting if loads[server.node] < 1.0]
    local = [server for server in free if server.data_centre == table.data_centre]
    candidates = local or free or admitting
    pair = random.sample(candidates, min(2, len(candidates)))
    return Ok(min(pair, key=lambda server: loads[server.node]))


def load_of(table: RoutingTable, subset: Subset, server: ServerLoad, now_ms: int) -> float:
    """Return the load of a server relative to the concurrency limit that it may use now.

    Calls sent since the last report are added to the reported ones, and consecutive failures
    multiply the load.
    """
    since_report = server.in_flight - server.in_flight_at_report
    in_flight = max(server.in_flight, server.reported_in_flight + since_report)
    share = ramp_share(table, subset, server, now_ms)
    load = in_flight / (max(1, server.reported_limit) * share)
    return (load + 0.01) * (1 + server.failures)


def ramp_share(table: RoutingTable, subset: Subset, server: ServerLoad, now_ms: int) -> float:
    """Return the share of its limit that a server may use during the ramp-up.

    The ramp-up starts when a server is new, has restarted or returns from an ejection.
    """
    since_ms = max(server.ejected_until_ms, server.restarted_ms)
    if server.first_seen_ms > subset.oldest_ms + FIRST_SEEN_TOLERANCE_MS:
        since_ms = max(since_ms, server.first_seen_ms)
    if since_ms == 0:
        return 1.0
    return min(1.0, max(MIN_RAMP_SHARE, (now_ms - since_ms) / table.ramp_ms))


def may_eject(subset: Subset, now_ms: int) -> bool:
    """Return whether one more server of a service may be ejected."""
    ejected = sum(server.ejected_until_ms > now_ms for server in subset.servers)
    return ejected + 1 <= len(subset.servers) * MAX_EJECTED_SHARE


def service_level(
    table: RoutingTable, service: str, now_ms: int, lifetime_ms: int, siblings: bool = True
) -> int | None:
    """Return the median admission level of a service, None if no fresh level is known.

    The levels that its servers reported themselves take precedence over reports of other peers.
    """
    subset = table.subsets.get(service)
    reported_by_servers = [
        server.level
        for server in (subset.servers if subset else ())
        if server.level_ms > 0
        and now_ms - server.level_ms < lifetime_ms
        and server.reported_limit > 0
    ]
    reports = [
        report.level
        for report in table.levels.get(service, {}).values()
        if now_ms - report.reported_ms < lifetime_ms and (siblings or not report.sibling)
    ]
    levels = reported_by_servers or reports
    return median_low(levels) if levels else None


def known_levels(
    table: RoutingTable,
    services: Iterable[str],
    now_ms: int,
    lifetime_ms: int,
    siblings: bool = False,
) -> tuple[ServiceLevel, ...]:
    """Return the known levels of services, including level 0, which replaces an older report."""
    known = ((name, service_level(table, name, now_ms, lifetime_ms, siblings)) for name in services)
    return tuple(ServiceLevel(name, level) for name, level in known if level is not None)


def strictest_level(
    table: RoutingTable, document: Document, call: CallPolicy, now_ms: int, lifetime_ms: int
) -> ServiceLevel:
    """Return the highest admission level on the path of a call."""
    services = (call.service, *called_services(document, call))
    levels = known_levels(table, services, now_ms, lifetime_ms, siblings=True)
    return max(levels, key=lambda level: level.level, default=ServiceLevel(call.service, 0))
