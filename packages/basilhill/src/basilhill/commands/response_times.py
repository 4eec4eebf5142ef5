"""Record the response times of a backend server."""

from collections.abc import Collection
from math import inf
from statistics import median

from basilhill.response_times import ResponseTimes, RouteTimes


def record_start(times: ResponseTimes, route: str, request_id: str, now_ms: int) -> None:
    times.routes.setdefault(route, RouteTimes()).running[request_id] = now_ms


def record_end(
    times: ResponseTimes, route: str, request_id: str, now_ms: int, answered: bool
) -> None:
    """Record the end of a call; a call cut off before its usual time tells nothing."""
    found = times.routes[route]
    took_ms = now_ms - found.running.pop(request_id, now_ms)
    if answered:
        found.samples_ms.append(took_ms)
    elif found.samples_ms and (took_ms > median(found.samples_ms) or median_is_cut_off(found)):
        found.samples_ms.append(inf)


def retain_routes(times: ResponseTimes, routes: Collection[str]) -> None:
    """Remove the times of routes that no configuration names and that have no calls."""
    for route, found in tuple(times.routes.items()):
        if route not in routes and not found.running:
            del times.routes[route]


def median_is_cut_off(found: RouteTimes) -> bool:
    """Return whether most of the last calls were cut off."""
    return median(found.samples_ms) == inf
