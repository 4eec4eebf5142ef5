"""Judge in which order overload refused kinds of customer action."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable

from attrs import frozen

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import Violation
from basilhill_fakes.workloads import Workload

# Levels travel by heartbeat every 500 ms, so sources may differ by that much.
INVERSION_WINDOW_MS = 500
REFUSED_SHARE = 0.5


@frozen
class RefusalTimes:
    """Hold when answers to one call arrived, and which of them refused it for overload."""

    answered_ms: list[float]
    refused_ms: list[float]

    def refused_share(self, start_ms: float, end_ms: float) -> float | None:
        """Return the share refused within a time, None when nothing was answered in it."""
        refused = count_within(self.refused_ms, start_ms, end_ms)
        answered = count_within(self.answered_ms, start_ms, end_ms)
        return refused / (refused + answered) if refused + answered else None


def count_within(times_ms: list[float], start_ms: float, end_ms: float) -> int:
    """Count the sorted times within a span."""
    return bisect_right(times_ms, end_ms) - bisect_left(times_ms, start_ms)


def refusal_times(events: Iterable[Event], call: str) -> RefusalTimes:
    """Return the answers to a call by time; events are in order of time."""
    times = RefusalTimes([], [])
    for event in events:
        if event.kind is not EventKind.ANSWER_RECEIVED or event.call != call:
            continue
        if event.reason == "overloaded":
            times.refused_ms.append(event.time_ms)
        elif event.status == 200:
            times.answered_ms.append(event.time_ms)
    return times


def class_inversions(events: list[Event], workload: Workload) -> list[Violation]:
    """Return the transactions refused for overload while browsing mostly was not.

    Browsing counts as refused when at least half of its answers within 500 ms before and after
    the refusal were refusals for overload. A span without any answer to browsing proves nothing.
    """
    browses = refusal_times(events, workload.browse)
    violations = []
    for time_ms in refusal_times(events, workload.transaction).refused_ms:
        share = browses.refused_share(time_ms - INVERSION_WINDOW_MS, time_ms + INVERSION_WINDOW_MS)
        if share is not None and share < REFUSED_SHARE:
            text = f"a transaction was refused at {time_ms:.0f} ms, browsing {share:.0%} refused"
            violations.append(Violation("class-inversion", text))
    return violations
