"""Judge what a concurrent run did to single calls."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import frozen

from basilhill_fakes.history import Event, EventKind


@frozen
class Violation:
    """Describe a broken promise."""

    check: str
    text: str


def double_runs(events: Iterable[Event]) -> list[Violation]:
    """Return the non-idempotent calls that ran more than once for one round of an order."""
    runs = Counter(
        (event.call, event.order, event.round)
        for event in events
        if event.kind is EventKind.RUN_STARTED and not event.idempotent and event.order
    )
    return [
        Violation("double-run", f"{call} ran {count} times for order {order} round {round_}")
        for (call, order, round_), count in runs.items()
        if count > 1
    ]


def wrong_answers(events: Iterable[Event]) -> list[Violation]:
    """Return the answers that were not whole or belong to another request."""
    return [
        Violation(
            "wrong-answer",
            f"{event.call} for {event.order} round {event.round} got {event.body_order!r} "
            f"round {event.body_round}",
        )
        for event in events
        if event.kind is EventKind.ANSWER_RECEIVED
        and event.verdict == "answered"
        and event.status == 200
        and (event.body_order, event.body_round) != (event.order, event.round)
    ]


def false_refusals(events: Iterable[Event]) -> list[Violation]:
    """Return the requests that ran, before or later, although a copy was told "not run".

    A round stands for one token, so an answer under a new token excuses nothing.
    """
    refused: dict[tuple[str, int], Event] = {}
    ran: dict[tuple[str, int], Event] = {}
    for event in events:
        key = (event.order, event.round)
        if event.kind is EventKind.ANSWER_RECEIVED and event.verdict == "not-run":
            refused.setdefault(key, event)
        elif event.kind is EventKind.RUN_STARTED and event.order:
            ran.setdefault(key, event)
    return [
        Violation(
            "false-refusal",
            f"{event.call} for {event.order} round {event.round} attempt {event.attempt} was "
            f"refused as not run ({event.reason}) but ran at {ran[key].place}",
        )
        for key, event in refused.items()
        if key in ran
    ]


def excess_retries(events: Iterable[Event], retries: dict[str, int]) -> list[Violation]:
    """Return the requests whose retries exceed those that the document gives their action.

    The retries are by entry call. Counts both what nodes report and what backend servers saw:
    every run of a call after its first within one request is a retry.
    """
    return [
        Violation("excess-retries", f"{call} for {order} round {round_}: {spent} retries")
        for (call, order, round_), spent in retries_by_request(events).items()
        if spent > retries[call]
    ]


def retries_by_request(events: Iterable[Event]) -> dict[tuple[str, str, int], int]:
    """Return the retries by entry call, order and round, reported or seen as repeated runs."""
    reported: dict[tuple[str, str, int], int] = {}
    runs: dict[tuple[str, int], Counter] = defaultdict(Counter)
    for event in events:
        if event.kind is EventKind.ANSWER_RECEIVED:
            key = (event.call, event.order, event.round)
            reported[key] = max(reported.get(key, 0), event.retries)
        elif event.kind is EventKind.RUN_STARTED:
            runs[event.order, event.round][event.call] += 1
    return {
        (call, order, round_): max(spent, repeated_runs(runs[order, round_]))
        for (call, order, round_), spent in reported.items()
    }


def repeated_runs(runs: Counter) -> int:
    """Return the runs beyond the first of each call."""
    return sum(count - 1 for count in runs.values())
