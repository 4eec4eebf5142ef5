"""Check of the order in which overload refuses classes of customer action."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from attrs import frozen

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import Violation
from basilhill_fakes.workloads import Workload

# Heartbeats carry admission levels every 500 ms, so the levels that origin nodes enforce may
# differ for that long.
INVERSION_WINDOW_MS = 500
REFUSED_SHARE = 0.5


@frozen
class RefusalTimes:
    """Arrival times of the successful responses and the overload refusals of one call."""

    succeeded_ms: list[float]
    refused_ms: list[float]

    def refused_share(self, start_ms: float, end_ms: float) -> float | None:
        """Return the refused share within a span, None if no response arrived in it."""
        refused = count_within(self.refused_ms, start_ms, end_ms)
        succeeded = count_within(self.succeeded_ms, start_ms, end_ms)
        return refused / (refused + succeeded) if refused + succeeded else None


def count_within(times_ms: list[float], start_ms: float, end_ms: float) -> int:
    """Count the times within a span; the times must be sorted."""
    return bisect_right(times_ms, end_ms) - bisect_left(times_ms, start_ms)


def refusal_times(events: Iterable[Event], call: str) -> RefusalTimes:
    """Return the response times of a call; events must be sorted by time."""
    times = RefusalTimes([], [])
    for event in events:
        if event.kind is not EventKind.ANSWER_RECEIVED or event.call != call:
            continue
        if event.reason == "overloaded":
            times.refused_ms.append(event.time_ms)
        elif event.status == 200:
            times.succeeded_ms.append(event.time_ms)
    return times


def class_inversions(events: list[Event], workload: Workload) -> list[Violation]:
    """Return the transactions refused for overload while most browsing was accepted.

    Browsing counts as refused if at least half of its responses within 500 ms before and after the
    transaction's refusal were overload refusals. A span without responses to browsing is ignored.
    """
    browses = refusal_times(events, workload.browse)
    violations = []
    for time_ms in refusal_times(events, workload.transaction).refused_ms:
        share = browses.refused_share(time_ms - INVERSION_WINDOW_MS, time_ms + INVERSION_WINDOW_MS)
        if share is not None and share < REFUSED_SHARE:
            text = (
                f"transaction refused at {time_ms:.0f} ms while {share:.0%} of browsing was refused"
            )
            violations.append(Violation("class-inversion", text))
    return violations
