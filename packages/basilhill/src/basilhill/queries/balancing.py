"""Choose the backend server of a call."""

from random import Random

from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import LoadTable, TargetLoad
from basilhill.queries.backends import ready_entries

# A server of another data centre must be emptier by this share of its slots to get a call, since
# bytes between data centres cost and the way takes longer.
FAR_LOAD = 0.3
# Servers compared for one call. Two are enough to spread load and keep nodes from acting alike;
# three find one of the faster servers more often.
SERVERS_COMPARED = 3
# A server that takes twice the usual time looks fuller by this share of its slots.
SLOW_LOAD = 0.15
# A server that gets no calls any more is tried again: its slowness halves in this time.
SLOWNESS_HALF_MS = 2_000
# A cold server serves about half of what its slots promise.
COLD_FACTOR = 2.0
# Above this share of failures at the best server of a service, its failures are not retried.
COMMON_FAILURE_RATE = 0.1
# Above this share of failures at all servers neither; one bad server of three stays below it,
# because it gets few calls.
COMMON_ROUTE_FAILURE_RATE = 0.3
# A server that fails all requests, while another one fails none, looks this much fuller.
FAILURE_FACTOR = 8.0


def usable_entries(
    directory: BackendDirectory,
    loads: LoadTable,
    service: str,
    now_ms: int,
    excluded: frozenset[str] = frozenset(),
) -> list[BackendEntry]:
    """Return the servers that may get new calls, the doubtful ones only if there is no other."""
    present = [
        entry for entry in ready_entries(directory, service) if entry.server_id not in excluded
    ]
    healthy = [entry for entry in present if not is_degraded(loads, entry, now_ms)]
    return healthy or present


def lowest_failure_rate(directory: BackendDirectory, loads: LoadTable, service: str) -> float:
    """Return the share of failures of a service's best server."""
    rates = (
        loads.targets[entry.server_id].failure_rate
        for entry in directory.services.get(service, ())
        if entry.server_id in loads.targets
    )
    return min(rates, default=0.0)


def failure_is_common(
    directory: BackendDirectory, loads: LoadTable, service: str, route: str
) -> bool:
    """Tell whether the servers of a route fail alike, so that another one would fail too.

    Their best one tells it where a node knows each server well. In a service of many servers some
    always have a clean record because they were seldom asked, and the mean of the route tells it.
    """
    if lowest_failure_rate(directory, loads, service) > COMMON_FAILURE_RATE:
        return True
    return loads.failure_rates.get(route, 0.0) > COMMON_ROUTE_FAILURE_RATE


def is_degraded(loads: LoadTable, entry: BackendEntry, now_ms: int) -> bool:
    """Tell whether a server was ejected or refused a call a moment ago."""
    target = loads.targets.get(entry.server_id)
    return target is not None and max(target.ejected_until_ms, target.refused_until_ms) > now_ms


def load_of(loads: LoadTable, entry: BackendEntry, now_ms: int, lowest_rate: float = 0.0) -> float:
    """Return the expected calls per slot of a server after one more call.

    Failures that all servers share, such as those of a service that they call, do not count.
    """
    factor = COLD_FACTOR if entry.warm_ms > now_ms else 1.0
    target = loads.targets.get(entry.server_id)
    if target is None:
        return factor / max(1, entry.slots)
    factor *= 1 + FAILURE_FACTOR * max(0.0, target.failure_rate - lowest_rate)
    load = (estimated_calls(target) + 1) * factor / max(1, entry.slots)
    return load + SLOW_LOAD * max(0.0, slowness_of(target, now_ms) - 1)


def slowness_of(target: TargetLoad, now_ms: int) -> float:
    """Return the time of a server's answers over the usual one; it fades without new answers."""
    if target.slowness == 1.0:
        return 1.0
    age_ms = now_ms - target.slowness_ms
    return 1.0 + (target.slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_MS)


def estimated_calls(target: TargetLoad) -> int:
    """Return the calls on a server by its last report and the own ones since."""
    return max(target.in_flight, target.reported + target.in_flight - target.in_flight_at_report)


def choose_backend(
    directory: BackendDirectory,
    loads: LoadTable,
    service: str,
    now_ms: int,
    random: Random,
    excluded: frozenset[str] = frozenset(),
) -> BackendEntry | None:
    """Return the server with the least load among a few random ones, near ones first."""
    usable = usable_entries(directory, loads, service, now_ms, excluded)
    lowest_rate = lowest_failure_rate(directory, loads, service)
    near = [entry for entry in usable if entry.data_centre == loads.data_centre]
    far = [entry for entry in usable if entry.data_centre != loads.data_centre]

    best, least = None, 0.0
    for distance, entries in ((0.0, near), (FAR_LOAD, far)):
        if best is not None and least <= distance:
            break
        for entry in sample_entries(entries, random):
            cost = load_of(loads, entry, now_ms, lowest_rate) + distance
            if best is None or cost < least:
                best, least = entry, cost
    return best


def sample_entries(entries: list[BackendEntry], random: Random) -> list[BackendEntry]:
    """Return a few random servers."""
    if len(entries) <= SERVERS_COMPARED:
        return entries
    return random.sample(entries, SERVERS_COMPARED)
