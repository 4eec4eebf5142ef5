"""Adjust admission levels to the load of a backend server."""

from basilhill.levels import HIGHEST_LEVEL, RankAdmissionLevel, RouteLevelReport, RouteLevels
from basilhill.queries.levels import REPORT_LIFETIME_MS
from basilhill.queries.ranks import split_rank
from basilhill.queries.slots import sustained_calls
from basilhill.slots import ConcurrencyLimiter

# Target utilisation of the slots; above it, calls queue and response times rise.
TARGET_UTILISATION = 0.9
# Time in which the queue should drain in addition to the arriving work.
BACKLOG_MS = 250
# Weight of the newest window in the demand. Windows last about 100 ms, so the average covers about
# a third of a second.
WINDOW_WEIGHT = 0.3
# In a shorter window a single call would look like a high arrival rate.
MIN_WINDOW_MS = 50
# Lower bound of the admitted share used to scale work; smaller shares are based on few calls and
# are inaccurate.
MIN_SHARE = 0.05
# Fraction of the difference by which a level rises in one window; it falls without delay.
RISE_FRACTION = 0.5


def set_highest(levels: RouteLevels, level: RankAdmissionLevel, highest: float) -> None:
    """Set the level that admits all requests, one above the least urgent rank in use.

    A much higher level would hide restrictions: the mean over the servers of a route would admit
    all requests while one server admits all, and one window would lift a restriction completely.
    """
    levels.highest = highest
    if level.level in (level.highest, HIGHEST_LEVEL):
        level.level = highest
    level.highest = highest
    level.level = min(level.level, highest)


def count_work(level: RankAdmissionLevel, rank: int, work: float, share: float = 1.0) -> None:
    """Add the work of a call, divided by the admitted share of requests of its rank.

    The quotient estimates the demand without refusals. A level based on admitted work oscillates,
    because calls arrive up to seconds after their request was admitted.
    """
    scaled_work = work / max(MIN_SHARE, share)
    level.work[rank] = level.work.get(rank, 0.0) + scaled_work


def adjust_rank_level(level: RankAdmissionLevel, limiter: ConcurrencyLimiter, now_ms: int) -> None:
    """Adjust the level so that the work of the admitted ranks fits the slots and the rate limit."""
    update_level(
        level, sustained_calls(limiter, TARGET_UTILISATION), backlog_by_rank(limiter), now_ms
    )


def update_level(
    level: RankAdmissionLevel, capacity: float, backlog: dict[int, float], now_ms: int
) -> None:
    """Adjust the level so that the work per ms of the admitted ranks fits the capacity."""
    elapsed_ms = now_ms - level.adjusted_ms
    if elapsed_ms < MIN_WINDOW_MS:
        return
    level.adjusted_ms = now_ms
    for rank in level.demand.keys() | level.work.keys():
        newest = level.work.get(rank, 0.0) / elapsed_ms
        before = level.demand.get(rank, 0.0)
        level.demand[rank] = before + WINDOW_WEIGHT * (newest - before)
    level.work.clear()
    fit_level(level, capacity, backlog)


def refit_rank_level(level: RankAdmissionLevel, limiter: ConcurrencyLimiter) -> None:
    """Fit the level to a capacity that has changed, with the demand measured before."""
    fit_level(level, sustained_calls(limiter, TARGET_UTILISATION), backlog_by_rank(limiter))


def fit_level(level: RankAdmissionLevel, capacity: float, backlog: dict[int, float]) -> None:
    """Move the level towards the one that fits the capacity; it falls at once."""
    fitting = fitting_level(level, capacity, backlog)
    if fitting > level.level:
        fitting = min(fitting, level.level + RISE_FRACTION * max(1.0, fitting - level.level))
    level.level = fitting


def backlog_by_rank(limiter: ConcurrencyLimiter) -> dict[int, float]:
    """Return the slots per rank that the queued calls occupy for BACKLOG_MS."""
    backlog: dict[int, float] = {}
    for request in limiter.waiting:
        rank, _ = split_rank(request.rank)
        backlog[rank] = backlog.get(rank, 0.0) + limiter.service_ms / BACKLOG_MS
    return backlog


def fitting_level(level: RankAdmissionLevel, capacity: float, backlog: dict[int, float]) -> float:
    """Return the level whose admitted ranks fill the capacity, the most urgent first.

    Queued calls delay only calls of their own rank and of less urgent ranks, so they reduce the
    capacity for those ranks only.
    """
    for rank, demand in sorted(level.demand.items()):
        capacity -= backlog.get(rank, 0.0)
        if demand > capacity:
            return rank + max(0.0, capacity) / demand
        capacity -= demand
    return level.highest


def record_level(
    levels: RouteLevels, route: str, server_id: str, level: float, now_ms: int
) -> None:
    """Store the level of a route that a server reported."""
    reports = levels.reports.setdefault(route, {})
    reports[server_id] = RouteLevelReport(level, now_ms)


def record_called(levels: RouteLevels, route: str, called: str) -> None:
    """Record that requests of a route make calls to another route."""
    levels.called.setdefault(route, set()).add(called)


def drop_expired_levels(levels: RouteLevels, now_ms: int) -> None:
    """Remove reports older than their lifetime."""
    for reports in levels.reports.values():
        old = [key for key, r in reports.items() if now_ms - r.reported_ms > REPORT_LIFETIME_MS]
        for key in old:
            del reports[key]
