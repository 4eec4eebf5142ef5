"""Read admission levels."""

from basilhill.levels import RouteLevels

# A server that gets calls reports its level several times in this period.
FRESH_MS = 500
# Without a fresh report the level of the newest report rises with its age, so that a route whose
# requests are all refused gets requests again.
RISE_PER_MS = 0.001
REPORT_LIFETIME_MS = 10_000


def route_level(levels: RouteLevels, route: str, now_ms: int) -> float:
    """Return the mean of the fresh levels of a route, else the newest level raised with its age."""
    reports = levels.reports.get(route)
    if not reports:
        return levels.highest
    fresh = [r.level for r in reports.values() if now_ms - r.reported_ms <= FRESH_MS]
    if fresh:
        return sum(fresh) / len(fresh)
    newest = max(reports.values(), key=lambda report: report.reported_ms)
    stale_ms = now_ms - newest.reported_ms - FRESH_MS
    return min(levels.highest, newest.level + stale_ms * RISE_PER_MS)


def tree_level(levels: RouteLevels, route: str, local_level: float, now_ms: int) -> float:
    """Return the strictest level of the local server and of the routes that a route calls."""
    called = (route_level(levels, name, now_ms) for name in levels.called.get(route, ()))
    return min((local_level, *called))


def admitted_share(level: float, rank: int) -> float:
    """Return the share of the requests of a rank that a level admits."""
    return min(1.0, max(0.0, level - rank))
