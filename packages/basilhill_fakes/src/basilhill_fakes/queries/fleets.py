"""Checks of servers and configuration versions in the history of a concurrent run."""

from collections.abc import Callable, Iterable

import orjson

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.goodput import is_completion
from basilhill_fakes.queries.histories import Violation

DRAIN_LIMIT_MS = 3_000


def late_work_ms(events: Iterable[Event]) -> dict[str, float]:
    """Return the latest call start at each draining server, in ms after its drain began."""
    drain_start_ms: dict[str, float] = {}
    late_start_ms: dict[str, float] = {}
    for event in events:
        if event.kind is EventKind.LEAVING:
            drain_start_ms.setdefault(event.place, event.time_ms)
            late_start_ms.setdefault(event.place, 0.0)
        elif event.kind is EventKind.RETURNED:
            drain_start_ms.pop(event.place, None)
        elif event.kind is EventKind.RUN_STARTED and event.place in drain_start_ms:
            late_start_ms[event.place] = event.time_ms - drain_start_ms[event.place]
    return late_start_ms


def late_work(events: Iterable[Event]) -> list[Violation]:
    """Return the servers that started a call more than 3 s after their drain began."""
    return [
        Violation(
            "late-work", f"call started at {place} {late_start_ms:.0f} ms after its drain began"
        )
        for place, late_start_ms in late_work_ms(events).items()
        if late_start_ms > DRAIN_LIMIT_MS
    ]


def find_version_regressions(events: Iterable[Event]) -> list[Violation]:
    """Return the sections that went back to an older version on a node.

    A restart of the node does not justify an older version.
    """
    highest: dict[tuple[str, str], int] = {}
    violations = []
    for event in events:
        if event.kind is not EventKind.SECTIONS:
            continue
        for team, revision in orjson.loads(event.note).items():
            before = highest.get((event.place, team), 0)
            highest[event.place, team] = max(before, revision)
            if revision < before:
                text = f"section {team} went back from {before} to {revision} on {event.place}"
                violations.append(Violation("fallen-version", text))
    return violations


def count_without_response(events: Iterable[Event], start_ms: float, end_ms: float) -> int:
    """Return the number of requests that started within a span and got no server response."""
    return len(started_rounds(events, start_ms, end_ms) - rounds_with(events, is_response))


def count_failed_after_start(events: Iterable[Event], start_ms: float, end_ms: float) -> int:
    """Return the number of requests that started within a span and got a failure response."""
    failed = rounds_with(events, is_response) - rounds_with(events, is_completion)
    return len(started_rounds(events, start_ms, end_ms) & failed)


def started_rounds(events: Iterable[Event], start_ms: float, end_ms: float) -> set[tuple[str, int]]:
    """Return the order and round of each request that a server started within a span."""
    return {
        (event.order, event.round)
        for event in events
        if event.kind is EventKind.RUN_STARTED and start_ms <= event.time_ms < end_ms
    }


def rounds_with(events: Iterable[Event], matches: Callable[[Event], bool]) -> set[tuple[str, int]]:
    """Return the order and round of each request with a matching event."""
    return {(event.order, event.round) for event in events if matches(event)}


def is_response(event: Event) -> bool:
    """Return whether an event is the response of a backend server with any status."""
    return event.kind is EventKind.ANSWER_RECEIVED and event.verdict == "answered"


def find_crashes(events: list[Event], order: str) -> list[str]:
    """Return the server of each crash: each run of the order that never ended on its server."""
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


def peak_runs_in_flight(
    events: Iterable[Event], place: str, after_ms: float, duration_ms: float
) -> int:
    """Return the peak number of runs in flight at a server within a span of `duration_ms`.

    The span begins with the first run that the server starts at or after `after_ms`.
    """
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
