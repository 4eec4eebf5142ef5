"""Read admission levels."""

from basilhill.levels import RouteLevels

# Reports count as they are for this long; then the level rises, so that a route whose requests
# are all refused is tried again.
FRESH_MS = 300
RISE_PER_MS = 0.001
FORGOTTEN_MS = 10_000


def route_level(levels: RouteLevels, route: str, now_ms: int) -> float:
    """Return the mean level of a route at its servers, the highest when none is known."""
    reports = levels.reports.get(route)
    if not reports:
        return levels.highest
    total = 0.0
    for report in reports.values():
        age_ms = now_ms - report.reported_ms
        risen = report.level + max(0, age_ms - FRESH_MS) * RISE_PER_MS
        total += min(levels.highest, risen)
    return total / len(reports)


def tree_level(levels: RouteLevels, route: str, own_level: float, now_ms: int) -> float:
    """Return the strictest level on the way of a route: here and at the routes called within it."""
    called = (route_level(levels, name, now_ms) for name in levels.called.get(route, ()))
    return min((own_level, *called))


def admitted_share(level: float, rank: int) -> float:
    """Return the share of the requests of a rank that a level admits."""
    return min(1.0, max(0.0, level - rank))


def admits(level: float, rank: int, chance: float) -> bool:
    """Tell whether a level admits a request of a rank that drew a number from 0 to 1."""
    return rank + chance < level
