"""Predict whether a call can end in time at a backend server that has become slow.

Pattern of load: some servers of a service become several times slower while calls keep arriving.
Each call that starts there is cut off at its timeout, its work is lost, and its slot is in use
meanwhile. The node beside the server sees all its calls, so it can refuse further ones as not run,
and their origins choose other servers.
"""

from math import isinf
from statistics import median

from basilhill.response_times import ResponseTimes, RouteTimes

# A call starts only if more than this share of the last calls ended within its remaining time.
MIN_SHARE_IN_TIME = 0.4
# Samples needed before a call is refused.
MIN_SAMPLES = 6
# Calls that run while the server is slow, to find out when it is fast again.
PROBES = 1
# A server is stalled while this many calls of a route have run for this multiple of the median.
STALLED_CALLS = 2
STALLED_FACTOR = 4.0
# Shorter runs say nothing about the server: the VM delays some calls that long when it is busy.
STALLED_MIN_MS = 100


def can_end_in_time(times: ResponseTimes, route: str, remaining_ms: int, now_ms: int) -> bool:
    """Return whether a call of a route may start with a remaining time in ms."""
    found = times.routes.get(route)
    if found is None or len(found.samples_ms) < MIN_SAMPLES or len(found.running) < PROBES:
        return True
    in_time = sum(took_ms <= remaining_ms for took_ms in found.samples_ms)
    return in_time > MIN_SHARE_IN_TIME * len(found.samples_ms) and not is_stalled(found, now_ms)


def is_stalled(found: RouteTimes, now_ms: int) -> bool:
    """Return whether the oldest calls have run much longer than usual.

    They show that a server has become slow before any of them ends.
    """
    if len(found.running) < STALLED_CALLS:
        return False
    usual_ms = median(found.samples_ms)
    starts_ms = iter(found.running.values())
    for _ in range(STALLED_CALLS - 1):
        next(starts_ms)
    stalled_ms = max(STALLED_MIN_MS, STALLED_FACTOR * usual_ms)
    return not isinf(usual_ms) and now_ms - next(starts_ms) > stalled_ms
