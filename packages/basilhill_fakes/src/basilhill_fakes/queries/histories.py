"""Judge the history of a concurrent run."""

from collections import Counter
from collections.abc import Iterable

from attrs import frozen

from basilhill_fakes.history import Event, EventKind


@frozen
class Violation:
    """Describe a broken promise."""

    check: str
    text: str


def double_runs(events: Iterable[Event]) -> list[Violation]:
    """Return the non-idempotent calls that ran more than once for one order."""
    runs = Counter(
        (event.call, event.order)
        for event in events
        if event.kind is EventKind.RUN_STARTED and not event.idempotent and event.order
    )
    return [
        Violation("double-run", f"{call} ran {count} times for order {order}")
        for (call, order), count in runs.items()
        if count > 1
    ]


def wrong_answers(events: Iterable[Event]) -> list[Violation]:
    """Return the answers that were not whole or belong to another order."""
    return [
        Violation("wrong-answer", f"{event.call} for {event.order} got {event.body_order!r}")
        for event in events
        if event.kind is EventKind.ANSWER_RECEIVED
        and event.verdict == "answered"
        and event.status == 200
        and event.body_order != event.order
    ]


def false_refusals(events: Iterable[Event]) -> list[Violation]:
    """Return the orders that ran although every copy was refused as not run."""
    last_verdict: dict[tuple[str, str], str] = {}
    ran = set()
    for event in events:
        key = (event.call, event.order)
        if event.kind is EventKind.ANSWER_RECEIVED and not event.idempotent:
            before = last_verdict.get(key)
            all_refused = event.verdict == "not-run" and before in (None, "not-run")
            last_verdict[key] = "not-run" if all_refused else "other"
        elif event.kind is EventKind.RUN_STARTED:
            ran.add(key)
    return [
        Violation("false-refusal", f"{call} for {order} was refused as not run but ran")
        for (call, order), verdict in last_verdict.items()
        if verdict == "not-run" and (call, order) in ran
    ]
