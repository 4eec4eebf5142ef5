"""Record calls, ejections and admission levels of the servers that a node routes to."""

from random import Random

from basilhill.documents import CallPolicy, Document
from basilhill.loads import LevelReport, PathLevel, RoutingTable, ServerLoad, Subset
from basilhill.outcomes import ServiceLevel
from basilhill.queries.routing import find_subset, may_eject, strictest_level

EJECT_AFTER_FAILURES = 5
EJECTION_MS = 2_000
EJECTION_MAX_MS = 60_000
EJECTION_JITTER = 0.2
# Ejection periods double with each ejection. The count restarts after this time without one.
EJECTION_COUNT_LIFETIME_MS = 120_000
# Computing the strictest level for each refused call would cost the most CPU time under overload.
PATH_LEVEL_LIFETIME_MS = 20


def use_subset(table: RoutingTable, service: str, now_ms: int) -> Subset:
    """Return the subset of a service, formed on first use, and update its time of last use."""
    subset = table.subsets.get(service)
    if subset is None:
        subset = table.subsets[service] = find_subset(table, service)
    subset.used_ms = now_ms
    return subset


def drop_subsets(table: RoutingTable) -> None:
    """Remove all subsets after a change of the fleet; the next use forms them again."""
    table.subsets.clear()


def begin_call(server: ServerLoad) -> None:
    server.in_flight += 1


def end_call(
    table: RoutingTable, server: ServerLoad, failed: bool, now_ms: int, random: Random
) -> bool:
    """Record the end of a call to a server; return whether the server is ejected for failures."""
    server.in_flight -= 1
    server.failures = server.failures + 1 if failed else 0
    subset = table.subsets.get(server.service)
    if server.failures < EJECT_AFTER_FAILURES or subset is None or not may_eject(subset, now_ms):
        return False
    if now_ms - server.ejected_until_ms > EJECTION_COUNT_LIFETIME_MS:
        server.ejections = 0
    period_ms = min(EJECTION_MAX_MS, EJECTION_MS * 2**server.ejections)
    jitter = random.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
    server.ejected_until_ms = now_ms + int(period_ms * jitter)
    server.ejections += 1
    server.failures = 0
    return True


def record_levels(
    table: RoutingTable, reporter: str, levels: tuple[ServiceLevel, ...], now_ms: int
) -> None:
    """Store the admission levels that a peer reported for its own and for other services."""
    server = table.servers.get(reporter)
    local_server = table.servers.get(table.node)
    sibling = (
        server is not None and local_server is not None and server.service == local_server.service
    )
    for level in levels:
        if server is not None and server.service == level.service:
            server.level, server.level_ms = level.level, now_ms
        elif reporter != table.node:
            report = LevelReport(level.level, now_ms, sibling)
            table.levels.setdefault(level.service, {})[reporter] = report


def expire_levels(table: RoutingTable, now_ms: int, lifetime_ms: int) -> None:
    """Remove reports older than their lifetime."""
    for reports in table.levels.values():
        old = [name for name, r in reports.items() if now_ms - r.reported_ms >= lifetime_ms]
        for name in old:
            del reports[name]


def cached_path_level(
    table: RoutingTable, document: Document, call: CallPolicy, now_ms: int, lifetime_ms: int
) -> PathLevel:
    """Return the strictest admission level on a call path, cached for PATH_LEVEL_LIFETIME_MS."""
    cached = table.path_levels.get(call.full_name)
    if (
        cached is None
        or cached.document is not document
        or now_ms - cached.computed_ms >= PATH_LEVEL_LIFETIME_MS
    ):
        use_subset(table, call.service, now_ms)
        strictest = strictest_level(table, document, call, now_ms, lifetime_ms)
        cached = PathLevel(document, strictest.service, strictest.level, now_ms)
        table.path_levels[call.full_name] = cached
    return cached
