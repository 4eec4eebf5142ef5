"""Record calls to backend servers and their outcomes."""

from collections.abc import Collection

from basilhill.backends import BackendDirectory
from basilhill.balancing import Candidates, Choice, LoadTable, ServerPool, TargetLoad
from basilhill.queries.backends import ready_entries
from basilhill.queries.balancing import lowest_failure_rate, slowness_of

EJECT_AFTER_FAILURES = 4
EJECTION_MS = 2_000
# Weight of the newest response in the usual response time of a route and in the slowness of a
# server.
USUAL_WEIGHT = 0.02
SLOWNESS_WEIGHT = 0.15
# Upper bound of the slowness that one call contributes, so that a single stuck call does not
# dominate the average of a server.
SLOWNESS_MAX = 10.0
# Weight of the newest outcome in the failure rate of a server, which covers about 20 calls.
FAILURE_WEIGHT = 0.05
# Weight of the newest outcome in the failure rate of a route across all servers.
ROUTE_FAILURE_WEIGHT = 0.05
# Weight of the newest call in the usual size of the messages of a route.
SIZE_WEIGHT = 0.1
# Time for which the lowest failure rate of a service is used.
RATED_MS = 100


def find_candidates(
    loads: LoadTable, directory: BackendDirectory, service: str, now_ms: int
) -> Candidates:
    """Return the servers of a service, listed again only after the directory has changed."""
    candidates = loads.candidates.get(service)
    if candidates is None:
        candidates = loads.candidates[service] = Candidates()
    if candidates.generation != directory.generation:
        candidates.generation = directory.generation
        ready = ready_entries(directory, service)
        own = loads.data_centre
        candidates.local = ServerPool([one for one in ready if one.data_centre == own])
        candidates.remote = ServerPool([one for one in ready if one.data_centre != own])
    if now_ms - candidates.rated_ms >= RATED_MS:
        candidates.rated_ms = now_ms
        candidates.lowest_rate = lowest_failure_rate(directory, loads, service)
    return candidates


def record_choice(candidates: Candidates, choice: Choice) -> None:
    """Remember the server of a choice for the next one."""
    pool = candidates.remote if choice.crossing else candidates.local
    pool.last = choice.entry


def record_size(loads: LoadTable, route: str, size: int) -> None:
    """Update the usual size of a request and its response, in bytes."""
    before = loads.usual_bytes.get(route, float(size))
    loads.usual_bytes[route] = before + SIZE_WEIGHT * (size - before)


def find_or_add_target(loads: LoadTable, server_id: str) -> TargetLoad:
    """Return the load of a server; create it on the first call to the server."""
    target = loads.targets.get(server_id)
    if target is None:
        target = loads.targets[server_id] = TargetLoad(server_id)
    return target


def record_call_start(target: TargetLoad) -> None:
    target.in_flight += 1


def record_call_end(target: TargetLoad) -> None:
    target.in_flight -= 1


def record_report(target: TargetLoad, running: int, now_ms: int = 0) -> None:
    """Store the number of running and queued calls that a server reported."""
    target.reported = running
    target.reported_ms = now_ms
    target.in_flight_at_report = target.in_flight


def record_refusal(target: TargetLoad, now_ms: int, period_ms: int) -> None:
    """Exclude a server that refused a call from selection for a period."""
    target.refused_until_ms = now_ms + period_ms


def record_response(target: TargetLoad, failed: bool) -> None:
    """Count a response and reset the consecutive calls without one.

    A failed response does not count toward ejection, because another service may have caused it.
    """
    target.failures = 0
    count_failure(target, failed)


def record_route_outcome(loads: LoadTable, route: str, failed: bool) -> None:
    """Update the failure rate of a route with its newest outcome."""
    before = loads.failure_rates.get(route, 0.0)
    loads.failure_rates[route] = before + ROUTE_FAILURE_WEIGHT * (float(failed) - before)


def record_response_time(
    loads: LoadTable, target: TargetLoad, route: str, took_ms: int, now_ms: int
) -> None:
    """Update the usual time of a route and the slowness of a server from a response time."""
    usual_ms = loads.usual_ms.get(route, float(took_ms))
    # Bounded, so that one slow server does not raise the usual time of the route.
    typical_ms = min(float(took_ms), 2 * usual_ms)
    loads.usual_ms[route] = usual_ms + USUAL_WEIGHT * (typical_ms - usual_ms)
    ratio = min(SLOWNESS_MAX, (took_ms + 1) / (usual_ms + 1))
    before = slowness_of(target, now_ms)
    target.slowness = before + SLOWNESS_WEIGHT * (ratio - before)
    target.slowness_ms = now_ms


def count_failure(target: TargetLoad, failed: bool) -> None:
    """Update the failure rate of a server with its newest outcome."""
    target.failure_rate += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - target.failure_rate)


def record_connection_failure(target: TargetLoad, now_ms: int) -> bool:
    """Count a call that got no response; return whether the server is ejected as a result."""
    count_failure(target, failed=True)
    target.failures += 1
    if target.failures < EJECT_AFTER_FAILURES:
        return False
    target.ejected_until_ms = now_ms + EJECTION_MS
    target.failures = 1
    return True


def remove_target(loads: LoadTable, server_id: str) -> None:
    """Remove the load of a server that was deregistered or restarted."""
    loads.targets.pop(server_id, None)


def retain_targets(loads: LoadTable, server_ids: Collection[str]) -> None:
    """Remove the loads of servers that are no longer listed."""
    for server_id in loads.targets.keys() - set(server_ids):
        del loads.targets[server_id]
