"""Adjust admission levels to the load of a server."""

from basilhill.levels import AdmissionLevel, LevelReport, RouteLevels
from basilhill.queries.levels import REPORT_LIFETIME_MS
from basilhill.queries.ranks import split_rank
from basilhill.slots import SlotGate

# Share of the slots that admitted requests should fill; fuller servers queue and slow down.
TARGET_SHARE = 0.9
# Work that waits is to be done within this time beside the work that arrives.
BACKLOG_MS = 250
# Weight of the newest window of about 100 ms in the demand, a memory of a third of a second.
WINDOW_WEIGHT = 0.3
# One call in a shorter window would look like a flood.
MIN_WINDOW_MS = 50
# The least share of admitted requests that is taken for exact; smaller ones rest on few calls.
MIN_SHARE = 0.05
# A level rises by this part of the way to its new place in a window, and falls at once.
RISE_FRACTION = 0.5


def count_work(level: AdmissionLevel, rank: int, work: float, share: float = 1.0) -> None:
    """Add the work of a call whose request was admitted with a share of its like.

    Dividing by the share gives the demand without any refusals. A level that follows admitted
    work instead swings, because calls arrive up to seconds after their request was admitted.
    """
    whole = work / max(MIN_SHARE, share)
    level.work[rank] = level.work.get(rank, 0.0) + whole


def adjust_level(level: AdmissionLevel, gate: SlotGate, now_ms: int) -> None:
    """Move the level so that the work of the admitted ranks fits the slots."""
    update_level(level, TARGET_SHARE * max(1, gate.slots), backlog_by_rank(gate), now_ms)


def update_level(
    level: AdmissionLevel, free_slots: float, backlog: dict[int, float], now_ms: int
) -> None:
    """Move the level so that the work of the admitted ranks, per ms, fits a room."""
    elapsed_ms = now_ms - level.adjusted_ms
    if elapsed_ms < MIN_WINDOW_MS:
        return
    level.adjusted_ms = now_ms
    for rank in level.demand.keys() | level.work.keys():
        newest = level.work.get(rank, 0.0) / elapsed_ms
        before = level.demand.get(rank, 0.0)
        level.demand[rank] = before + WINDOW_WEIGHT * (newest - before)
    level.work.clear()
    fitting = fitting_level(level, free_slots, backlog)
    if fitting > level.level:
        fitting = min(fitting, level.level + RISE_FRACTION * max(1.0, fitting - level.level))
    level.level = fitting


def backlog_by_rank(gate: SlotGate) -> dict[int, float]:
    """Return the slots that the calls which wait now fill for a while."""
    backlog: dict[int, float] = {}
    for request in gate.waiting:
        rank, _ = split_rank(request.rank)
        backlog[rank] = backlog.get(rank, 0.0) + gate.service_ms / BACKLOG_MS
    return backlog


def fitting_level(level: AdmissionLevel, free_slots: float, backlog: dict[int, float]) -> float:
    """Return the level whose admitted ranks fill free slots, the most urgent first.

    Waiting calls take room from their own rank and less urgent ones, which they delay.
    """
    for rank, demand in sorted(level.demand.items()):
        free_slots -= backlog.get(rank, 0.0)
        if demand > free_slots:
            return rank + max(0.0, free_slots) / demand
        free_slots -= demand
    return level.highest


def record_level(
    levels: RouteLevels, route: str, server_id: str, level: float, now_ms: int
) -> None:
    """Store the level of a route that a server reported."""
    reports = levels.reports.setdefault(route, {})
    reports[server_id] = LevelReport(level, now_ms)


def record_called(levels: RouteLevels, route: str, called: str) -> None:
    """Note that requests of a route make calls of another one."""
    levels.called.setdefault(route, set()).add(called)


def forget_levels(levels: RouteLevels, now_ms: int) -> None:
    """Drop reports that are too old to count."""
    for reports in levels.reports.values():
        old = [key for key, r in reports.items() if now_ms - r.reported_ms > REPORT_LIFETIME_MS]
        for key in old:
            del reports[key]
