"""Checks of single calls in the history of a concurrent run."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import frozen

from basilhill_fakes.history import Event, EventKind

FAILED = 500


@frozen
class Violation:
    """Violation of an invariant that a check found in a history."""

    check: str
    text: str


def double_runs(events: Iterable[Event]) -> list[Violation]:
    """Return the non-idempotent calls that ran more than once in one round of an order."""
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
    """Return the successful responses that were truncated or belong to another request."""
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
    """Return the requests that ran before or after one of their attempts was refused as not run.

    A round stands for one token, so runs under a new token are not counted.
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


def refused_but_run(events: Iterable[Event]) -> list[Violation]:
    """Return the orders that had an attempt refused as not run although any of their attempts ran.

    Stricter than `false_refusals`; valid only for histories with one token per order.
    """
    refused, ran = set(), set()
    for event in events:
        if event.kind is EventKind.ANSWER_RECEIVED and event.verdict == "not-run":
            refused.add(event.order)
        elif event.kind is EventKind.RUN_STARTED:
            ran.add(event.order)
    return [Violation("refused-and-run", order) for order in sorted((refused & ran) - {""})]


def unresolved_requests(events: Iterable[Event]) -> list[Violation]:
    """Return the requests whose last response says that they may have run.

    These are violations only if every process that received the request keeps running and a last
    attempt is sent after all faults. Only then can the coordinator determine whether each one ran.
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
    """Return the runs that a server started in a span after a number of consecutive failures.

    A run failed if it ended with status 500. The span is relative to the first time at which the
    server reached that number of consecutive failures. The check assumes that the node of a single
    caller received all of the responses.
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


def count_runs(events: Iterable[Event], prefix: str) -> int:
    """Return the number of started runs of orders with a prefix."""
    return sum(e.kind is EventKind.RUN_STARTED and e.order.startswith(prefix) for e in events)


def excess_retries(events: Iterable[Event], retries: dict[str, int]) -> list[Violation]:
    """Return the requests with more retries than the document allows for their action.

    The allowed retries are given by entry call. Counts both the retries that nodes report and the
    runs at backend servers: every run of a call after its first one in a request is a retry.
    """
    return [
        Violation("excess-retries", f"{call} for {order} round {round_}: {spent} retries")
        for (call, order, round_), spent in retries_by_request(events).items()
        if spent > retries[call]
    ]


def retries_by_request(events: Iterable[Event]) -> dict[tuple[str, str, int], int]:
    """Return the retries by entry call, order and round.

    Each value is the larger one of the reported retries and the repeated runs.
    """
    reported: dict[tuple[str, str, int], int] = {}
    runs: dict[tuple[str, int], Counter] = defaultdict(Counter)
    for event in events:
        if event.kind is EventKind.ANSWER_RECEIVED:
            key = (event.call, event.order, event.round)
            reported[key] = max(reported.get(key, 0), event.retries)
        elif event.kind is EventKind.RUN_STARTED:
            runs[event.order, event.round][event.call] += 1
    return {
        (call, order, round_): max(spent, count_repeated_runs(runs[order, round_]))
        for (call, order, round_), spent in reported.items()
    }


def count_repeated_runs(runs: Counter) -> int:
    """Return the number of runs after the first one of each call."""
    return sum(count - 1 for count in runs.values())
