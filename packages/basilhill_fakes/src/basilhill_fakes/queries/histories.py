"""Judge what a concurrent run did to single calls."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import frozen

from basilhill_fakes.history import Event, EventKind

FAILED = 500


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


def refused_and_run(events: Iterable[Event]) -> list[Violation]:
    """Return the orders of which one copy was told "not run" and any copy ran.

    Stricter than `false_refusals`, for histories in which each order has only one token.
    """
    refused, ran = set(), set()
    for event in events:
        if event.kind is EventKind.ANSWER_RECEIVED and event.verdict == "not-run":
            refused.add(event.order)
        elif event.kind is EventKind.RUN_STARTED:
            ran.add(event.order)
    return [Violation("refused-and-run", order) for order in sorted((refused & ran) - {""})]


def unresolved_requests(events: Iterable[Event]) -> list[Violation]:
    """Return the requests that the last answer leaves uncertain.

    They are violations only in histories that leave every asked process running to the end and
    send a last copy after all faults: then the coordinator can learn what became of each.
    """
    last = {
        (event.call, event.order, event.round): event
        for event in events
        if event.kind is EventKind.ANSWER_RECEIVED
    }
    return [
        Violation("unresolved", f"{call} for {order} round {round_}: {event.reason}")
        for (call, order, round_), event in last.items()
        if event.verdict == "may-have-run"
    ]


def work_after_failures(
    events: Iterable[Event], failures: int, from_ms: float, to_ms: float
) -> list[Violation]:
    """Return the runs that started at a server some time after it had failed often in a row.

    A run failed if it ended with status 500. The span is counted from the first time at which the
    last so many runs of a server had failed; one caller's node is assumed to have seen them all.
    """
    row: Counter[str] = Counter()
    failed_ms: dict[str, float] = {}
    violations = []
    for event in events:
        place = event.place
        if event.kind is EventKind.RUN_ENDED:
            row[place] = row[place] + 1 if event.status == FAILED else 0
            if row[place] == failures:
                failed_ms.setdefault(place, event.time_ms)
        elif event.kind is EventKind.RUN_STARTED and place in failed_ms:
            age_ms = event.time_ms - failed_ms[place]
            if from_ms <= age_ms < to_ms:
                text = f"{event.call} for {event.order} at {place} {age_ms:.0f} ms after failures"
                violations.append(Violation("work-after-failures", text))
    return violations


def runs_of_orders(events: Iterable[Event], prefix: str) -> int:
    """Return how many runs of orders with a prefix started."""
    return sum(e.kind is EventKind.RUN_STARTED and e.order.startswith(prefix) for e in events)


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
