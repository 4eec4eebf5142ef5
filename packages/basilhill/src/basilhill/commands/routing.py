"""Record what a node learns of the servers that it routes to."""

from basilhill.loads import LevelReport, RoutingTable, ServerLoad
from basilhill.verdicts import ServiceLevel

EJECT_AFTER_FAILURES = 5
EJECTION_MS = 5_000


def begin_call(server: ServerLoad) -> None:
    """Count a call as sent to a server."""
    server.in_flight += 1


def end_call(server: ServerLoad, failed: bool, now_ms: int) -> None:
    """Count a call to a server as over and eject the server after repeated failures."""
    server.in_flight -= 1
    server.failures = server.failures + 1 if failed else 0
    if server.failures >= EJECT_AFTER_FAILURES:
        server.ejected_until_ms = now_ms + EJECTION_MS
        server.failures = 0


def record_levels(
    table: RoutingTable, reporter: str, levels: tuple[ServiceLevel, ...], now_ms: int
) -> None:
    """Store the admission levels that a peer reported."""
    for level in levels:
        report = LevelReport(level.level, now_ms)
        table.levels.setdefault(level.service, {})[reporter] = report
