"""Goodput, recovery time and wasted backend server time of a run."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.workloads import Workload, find_fake_call

# At 100 completions per second, counts in 500 ms windows vary by more than 5% even when arrivals
# are evenly spaced.
WINDOW_MS = 1_000
STEP_MS = 100
RECOVERED_SHARE = 0.95


def slot_time_ms(workload: Workload, full_name: str, slow_factor: float = 1.0) -> float:
    """Return how long a call occupies a slot, including its internal calls."""
    call = find_fake_call(workload, full_name)
    internal_ms = sum(slot_time_ms(workload, name) for name in call.calls)
    return call.service_ms * slow_factor + internal_ms


def bottleneck_slots(workload: Workload) -> int:
    """Return the total number of slots of all servers of the bottleneck service."""
    service = workload.services[workload.bottleneck]
    return service.servers * service.slots


def bottleneck_rate_per_s(workload: Workload, slow_factor: float = 1.0) -> float:
    """Return the transaction capacity of the bottleneck per second without browsing."""
    name = f"{workload.bottleneck}.{workload.bottleneck_call}"
    return bottleneck_slots(workload) * 1000 / slot_time_ms(workload, name, slow_factor)


def mixed_rate_per_s(workload: Workload) -> float:
    """Return the rate of transactions, each paired with a browse, that fills the bottleneck."""
    name = f"{workload.bottleneck}.{workload.bottleneck_call}"
    browse = find_fake_call(workload, workload.browse)
    bottleneck_calls = [call for call in browse.calls if call.split(".")[0] == workload.bottleneck]
    pair_ms = slot_time_ms(workload, name) + sum(
        slot_time_ms(workload, c) for c in bottleneck_calls
    )
    return bottleneck_slots(workload) * 1000 / pair_ms


def completions_ms(events: Iterable[Event], call: str = "") -> list[float]:
    """Return the first completion time of each order; events must be sorted by time."""
    seen: set[str] = set()
    times = []
    for event in events:
        if is_completion(event) and call in ("", event.call) and event.order not in seen:
            seen.add(event.order)
            times.append(event.time_ms)
    return times


def is_completion(event: Event) -> bool:
    """Return whether an event is the complete, successful response to the caller's own request."""
    return (
        event.kind is EventKind.ANSWER_RECEIVED
        and event.status == 200
        and event.body_order == event.order
    )


def rate_per_s(times_ms: list[float], start_ms: float, end_ms: float) -> float:
    """Return the events per second within a span; the times must be sorted."""
    count = bisect_left(times_ms, end_ms) - bisect_left(times_ms, start_ms)
    return count * 1000 / (end_ms - start_ms)


def recovery_ms(
    times_ms: list[float], before_per_s: float, start_ms: float, end_ms: float
) -> float | None:
    """Return the time from the end of the trigger until goodput stays at 95% of the rate before.

    Goodput is measured in sliding windows of 1 s every 100 ms. The recovery time ends at the start
    of the first window from which every window up to `end_ms` reaches 95%. Returns None if the last
    window does not reach it.
    """
    recovered = None
    window_ms = end_ms - WINDOW_MS
    while window_ms >= start_ms:
        rate = rate_per_s(times_ms, window_ms, window_ms + WINDOW_MS)
        if rate < RECOVERED_SHARE * before_per_s:
            break
        recovered = window_ms - start_ms
        window_ms -= STEP_MS
    return recovered


def wasted_ratio(events: Iterable[Event], start_ms: float, end_ms: float) -> float:
    """Return the share of backend server time within a span that was spent on wasted runs.

    Server time is the time for which runs occupy slots, summed over all services. One run of each
    call of a completed request is useful. Runs of failed requests and repeated runs of the same
    call are wasted.
    """
    completed: set[tuple[str, int]] = set()
    ended = []
    for event in events:
        if is_completion(event):
            completed.add((event.order, event.round))
        elif event.kind is EventKind.RUN_ENDED and start_ms <= event.time_ms < end_ms:
            ended.append(event)
    useful: dict[tuple[str, str, int], float] = {}
    for event in ended:
        if event.status == 200 and (event.order, event.round) in completed:
            useful[event.call, event.order, event.round] = event.duration_ms
    total_ms = sum(event.duration_ms for event in ended)
    return 1 - sum(useful.values()) / total_ms if total_ms else 0.0


def goodput_series(events: list[Event], start_ms: float, duration_s: float) -> list[dict]:
    """Return the completed actions and the attempts refused as not run for each second."""
    completed = Counter(int((t - start_ms) // 1000) for t in completions_ms(events))
    refused = Counter(
        int((event.time_ms - start_ms) // 1000)
        for event in events
        if event.kind is EventKind.ANSWER_RECEIVED
        and (event.verdict == "not-run" or event.status == 503)
        and event.reason != "token-required"
    )
    return [
        {"second": second, "completed": completed[second], "refused": refused[second]}
        for second in range(int(duration_s))
    ]
