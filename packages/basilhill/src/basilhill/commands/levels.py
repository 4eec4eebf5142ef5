"""Adjust admission levels to the load of a server."""

from basilhill.levels import AdmissionLevel, LevelReport, RouteLevels
from basilhill.queries.levels import FORGOTTEN_MS
from basilhill.slots import SlotGate

# Share of the slots that admitted requests should fill; fuller servers queue and slow down.
TARGET_SHARE = 0.9
# Work that waits is to be done within this time beside the work that arrives.
BACKLOG_MS = 500
# Weight of the newest window of about 100 ms in the work by rank.
WINDOW_WEIGHT = 0.35
# Slots that the work of a rank fills at least to count as present.
LEAST_WORK = 0.01
# Levels rise at most this much in a window; reports reach the origins over several hops.
RISE_MAX = 0.12
# One call in a shorter window would look like a flood.
SHORTEST_WINDOW_MS = 50
# A window changes the level only by this part, because earlier changes are still on their way.
DAMPING = 0.5


def count_work(level: AdmissionLevel, rank: int, work_ms: float) -> None:
    """Add the slot time that a call asks for."""
    level.work_ms[rank] = level.work_ms.get(rank, 0.0) + work_ms


def adjust_level(level: AdmissionLevel, gate: SlotGate, now_ms: int) -> None:
    """Move the level so that the work of the admitted ranks fits the slots."""
    elapsed_ms = now_ms - level.adjusted_ms
    if elapsed_ms < SHORTEST_WINDOW_MS:
        return
    level.adjusted_ms = now_ms
    for rank in level.recent_ms.keys() | level.work_ms.keys():
        newest = level.work_ms.get(rank, 0.0) / elapsed_ms
        before = level.recent_ms.get(rank, newest)
        level.recent_ms[rank] = before + WINDOW_WEIGHT * (newest - before)
    level.work_ms.clear()
    slots = max(1, gate.slots)
    backlog = len(gate.waiting) * gate.service_ms / BACKLOG_MS
    excess = sum(level.recent_ms.values()) + backlog - TARGET_SHARE * slots
    top = 1.0 + max((r for r, work in level.recent_ms.items() if work > LEAST_WORK), default=0)
    if excess > 0:
        level.level = min(level.level, top)
        level.level = max(0.0, level.level - DAMPING * fall(level, excess))
    elif level.level < top:
        level.level += DAMPING * rise(level, -excess)
    else:
        level.level = level.highest


def fall(level: AdmissionLevel, excess: float) -> float:
    """Return how far the level must fall to refuse work, the least urgent first."""
    position, bottom = level.level, 0.0
    while excess > 0 and position > bottom:
        rank = int(position) if position > int(position) else int(position) - 1
        admitted_share = position - rank
        work = level.recent_ms.get(rank, 0.0)
        if work > excess:
            return level.level - (position - admitted_share * excess / work)
        excess -= work
        position = float(rank)
    return level.level - position


def rise(level: AdmissionLevel, room: float) -> float:
    """Return how far the level may rise to fill free slots."""
    rank = int(level.level)
    admitted_share = level.level - rank
    work = level.recent_ms.get(rank, 0.0)
    if admitted_share <= 0 or work <= 0:
        return RISE_MAX
    return min(RISE_MAX, room * admitted_share / work)


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
        old = [key for key, r in reports.items() if now_ms - r.reported_ms > FORGOTTEN_MS]
        for key in old:
            del reports[key]
