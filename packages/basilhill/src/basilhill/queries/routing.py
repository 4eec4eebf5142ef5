"""Choose servers and read admission levels."""

from random import Random
from statistics import median_low

from expression import Error, Ok, Result

from basilhill.calls import CallContext
from basilhill.documents import CallPolicy, Document
from basilhill.loads import RoutingTable, ServerLoad
from basilhill.queries.admission import passes_level
from basilhill.queries.documents import called_services
from basilhill.verdicts import Reason, Refusal, ServiceLevel, not_run


def usable_servers(
    table: RoutingTable, service: str, now_ms: int, excluded: frozenset[str] = frozenset()
) -> list[ServerLoad]:
    """Return the servers of a service that may get new work."""
    return [
        server
        for server in table.servers.values()
        if server.service == service
        and not server.leaving
        and not lease_ended(server, now_ms)
        and server.ejected_until_ms <= now_ms
        and server.node not in excluded
    ]


def lease_ended(server: ServerLoad, now_ms: int) -> bool:
    """Tell whether a server that sent heartbeats has stopped; one never heard of may be up."""
    return 0 < server.lease_until_ms <= now_ms


def choose_server(
    table: RoutingTable,
    service: str,
    now_ms: int,
    random: Random,
    excluded: frozenset[str] = frozenset(),
) -> Result[ServerLoad, Refusal]:
    """Return the less loaded of two servers, in the nearest data centre first."""
    usable = usable_servers(table, service, now_ms, excluded)
    near = [server for server in usable if server.data_centre == table.data_centre]
    candidates = [server for server in near if load_of(server) < 1.0] or usable
    if not candidates:
        return Error(not_run(Reason.NO_SERVER, f"no server of {service} is available"))
    pair = random.sample(candidates, min(2, len(candidates)))
    return Ok(min(pair, key=load_of))


def load_of(server: ServerLoad) -> float:
    """Return the load of a server per unit of its concurrency limit."""
    in_flight = max(server.in_flight, server.reported_in_flight)
    return in_flight / max(1, server.reported_limit)


def service_level(table: RoutingTable, service: str, now_ms: int, lifetime_ms: int) -> int:
    """Return the admission level of a service, from own measurements and from reports."""
    own = [
        server.level
        for server in table.servers.values()
        if server.service == service and now_ms - server.level_ms < lifetime_ms
    ]
    reports = [
        report.level
        for report in table.levels.get(service, {}).values()
        if now_ms - report.reported_ms < lifetime_ms
    ]
    levels = own or reports
    return median_low(levels) if levels else 0


def known_levels(
    table: RoutingTable, document: Document, call: CallPolicy, now_ms: int, lifetime_ms: int
) -> tuple[ServiceLevel, ...]:
    """Return the levels of the services that a call reaches, where they refuse anything."""
    levels = (
        ServiceLevel(service, service_level(table, service, now_ms, lifetime_ms))
        for service in called_services(document, call)
    )
    return tuple(level for level in levels if level.level > 0)


def refusing_service(
    table: RoutingTable,
    document: Document,
    call: CallPolicy,
    context: CallContext,
    now_ms: int,
    lifetime_ms: int,
) -> str | None:
    """Return a service on the call's way whose admission level refuses the action."""
    for service in (call.service, *called_services(document, call)):
        if not passes_level(context, service_level(table, service, now_ms, lifetime_ms)):
            return service
    return None
