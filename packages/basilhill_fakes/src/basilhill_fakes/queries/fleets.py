"""Judge what a concurrent run did to servers and to the configuration."""

from collections.abc import Callable, Iterable

import orjson

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.goodput import is_completion
from basilhill_fakes.queries.histories import Violation

LEAVE_LIMIT_MS = 3_000


def late_work_ms(events: Iterable[Event]) -> dict[str, float]:
    """Return by leaving server how long after its leave began the last call started there."""
    left: dict[str, float] = {}
    late: dict[str, float] = {}
    for event in events:
        if event.kind is EventKind.LEAVING:
            left.setdefault(event.place, event.time_ms)
            late.setdefault(event.place, 0.0)
        elif event.kind is EventKind.RETURNED:
            left.pop(event.place, None)
        elif event.kind is EventKind.RUN_STARTED and event.place in left:
            late[event.place] = event.time_ms - left[event.place]
    return late


def late_work(events: Iterable[Event]) -> list[Violation]:
    """Return the servers where a call started more than 3 s after they began to leave."""
    return [
        Violation("late-work", f"a call started at {place} {late:.0f} ms after it began to leave")
        for place, late in late_work_ms(events).items()
        if late > LEAVE_LIMIT_MS
    ]


def fallen_versions(events: Iterable[Event]) -> list[Violation]:
    """Return the sections whose version fell on a node; a restart excuses no older version."""
    highest: dict[tuple[str, str], int] = {}
    violations = []
    for event in events:
        if event.kind is not EventKind.SECTIONS:
            continue
        for team, revision in orjson.loads(event.note).items():
            before = highest.get((event.place, team), 0)
            highest[event.place, team] = max(before, revision)
            if revision < before:
                text = f"section {team} fell from {before} to {revision} on {event.place}"
                violations.append(Violation("fallen-version", text))
    return violations


def cut_off(events: Iterable[Event], start_ms: float, end_ms: float) -> int:
    """Return the requests that started to run within a span and whose end no caller learnt."""
    return len(started_rounds(events, start_ms, end_ms) - rounds_with(events, has_answer))


def failed_after_start(events: Iterable[Event], start_ms: float, end_ms: float) -> int:
    """Return the requests that started to run within a span and ended with a failure."""
    failed = rounds_with(events, has_answer) - rounds_with(events, is_completion)
    return len(started_rounds(events, start_ms, end_ms) & failed)


def started_rounds(events: Iterable[Event], start_ms: float, end_ms: float) -> set[tuple[str, int]]:
    """Return the orders and rounds of which a run started within a span."""
    return {
        (event.order, event.round)
        for event in events
        if event.kind is EventKind.RUN_STARTED and start_ms <= event.time_ms < end_ms
    }


def rounds_with(events: Iterable[Event], holds: Callable[[Event], bool]) -> set[tuple[str, int]]:
    """Return the orders and rounds that have an event of some kind."""
    return {(event.order, event.round) for event in events if holds(event)}


def has_answer(event: Event) -> bool:
    """Tell whether an event is the answer of a backend server, whatever it says."""
    return event.kind is EventKind.ANSWER_RECEIVED and event.verdict == "answered"


def crashes_of(events: list[Event], order: str) -> list[str]:
    """Return the server of each crash: a run of the order that never ended there."""
    ended = {
        (event.place, event.round)
        for event in events
        if event.kind is EventKind.RUN_ENDED and event.order == order
    }
    return [
        event.place
        for event in events
        if event.kind is EventKind.RUN_STARTED
        and event.order == order
        and (event.place, event.round) not in ended
    ]


def runs_in_flight(events: Iterable[Event], place: str, after_ms: float, duration_ms: float) -> int:
    """Return the most runs in flight at a server during a time from its first run after a time."""
    first_ms = None
    in_flight = most = 0
    for event in events:
        if event.place != place or event.time_ms < after_ms:
            continue
        if event.kind is EventKind.RUN_STARTED:
            first_ms = event.time_ms if first_ms is None else first_ms
            in_flight += 1
        elif event.kind is EventKind.RUN_ENDED:
            in_flight -= 1
        if first_ms is not None and event.time_ms < first_ms + duration_ms:
            most = max(most, in_flight)
    return most
