"""Record calls to backend servers and what came of them."""

from collections.abc import Collection

from basilhill.balancing import LoadTable, TargetLoad
from basilhill.queries.balancing import slowness_of

EJECT_AFTER_FAILURES = 4
EJECTION_MS = 2_000
# Weight of the newest answer in the usual time of a route, and in the slowness of a server.
USUAL_WEIGHT = 0.02
SLOWNESS_WEIGHT = 0.15
# One stuck call tells no more than this of a server.
SLOWNESS_MAX = 10.0
# Weight of the newest outcome in a server's share of failures: about the last 20 calls count.
FAILURE_WEIGHT = 0.05
# The same in the share of failures of a route at all servers.
ROUTE_FAILURE_WEIGHT = 0.05


def target_of(loads: LoadTable, server_id: str) -> TargetLoad:
    """Return the load of a server, new for one that was never called."""
    target = loads.targets.get(server_id)
    if target is None:
        target = loads.targets[server_id] = TargetLoad(server_id)
    return target


def begin_send(target: TargetLoad) -> None:
    """Count a call as sent."""
    target.in_flight += 1


def end_send(target: TargetLoad) -> None:
    """Count a call as over."""
    target.in_flight -= 1


def record_report(target: TargetLoad, running: int) -> None:
    """Store the calls that run or wait at a server by its own report."""
    target.reported = running
    target.in_flight_at_report = target.in_flight


def record_refusal(target: TargetLoad, now_ms: int, period_ms: int) -> None:
    """Leave a server out for a while that took no call."""
    target.refused_until_ms = now_ms + period_ms


def record_answer(target: TargetLoad, failed: bool) -> None:
    """Count an answer of a server; one that reports a failure may have its cause elsewhere."""
    target.failures = 0
    count_failure(target, failed)


def record_route_outcome(loads: LoadTable, route: str, failed: bool) -> None:
    """Move the share of failures of a route towards its newest outcome."""
    before = loads.failure_rates.get(route, 0.0)
    loads.failure_rates[route] = before + ROUTE_FAILURE_WEIGHT * (float(failed) - before)


def record_time(
    loads: LoadTable, target: TargetLoad, route: str, took_ms: int, now_ms: int
) -> None:
    """Compare the time of an answer with the usual one of its route."""
    usual_ms = loads.usual_ms.get(route, float(took_ms))
    # Bounded, so that the answers of one slow server do not become the usual ones.
    typical_ms = min(float(took_ms), 2 * usual_ms)
    loads.usual_ms[route] = usual_ms + USUAL_WEIGHT * (typical_ms - usual_ms)
    ratio = min(SLOWNESS_MAX, (took_ms + 1) / (usual_ms + 1))
    before = slowness_of(target, now_ms)
    target.slowness = before + SLOWNESS_WEIGHT * (ratio - before)
    target.slowness_ms = now_ms


def count_failure(target: TargetLoad, failed: bool) -> None:
    """Move the share of failures of a server towards its newest outcome."""
    target.failure_rate += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - target.failure_rate)


def record_loss(target: TargetLoad, now_ms: int) -> bool:
    """Count a call without an answer; return whether the server was ejected for it."""
    count_failure(target, failed=True)
    target.failures += 1
    if target.failures < EJECT_AFTER_FAILURES:
        return False
    target.ejected_until_ms = now_ms + EJECTION_MS
    target.failures = 1
    return True


def forget_target(loads: LoadTable, server_id: str) -> None:
    """Forget a server that is gone or was born anew."""
    loads.targets.pop(server_id, None)


def keep_targets(loads: LoadTable, server_ids: Collection[str]) -> None:
    """Forget the servers that are not listed any more."""
    for server_id in loads.targets.keys() - set(server_ids):
        del loads.targets[server_id]
