"""Choose the backend server of a call."""

from random import Random

from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import LoadTable, TargetLoad
from basilhill.queries.backends import ready_entries

# Load added to servers of other data centres, as a share of their slots, because traffic between
# data centres costs money and adds latency.
REMOTE_LOAD = 0.3
# Servers compared for one call. Two suffice to spread load and to avoid that all nodes choose the
# same server; three select one of the faster servers more often.
SERVERS_COMPARED = 3
# Load added per multiple of the usual response time above 1, as a share of the slots.
SLOWNESS_LOAD = 0.15
# Half-life of the slowness of a server without new responses, so that it gets calls again.
SLOWNESS_HALF_LIFE_MS = 2_000
# A cold server has about half the throughput of a warm one with the same slots.
COLD_FACTOR = 2.0
# Above this failure rate of the best server of a service, failures are not retried.
COMMON_FAILURE_RATE = 0.1
# Above this failure rate of a route across all servers, failures are not retried. One failing
# server of three does not reach it, because it gets few calls.
COMMON_ROUTE_FAILURE_RATE = 0.3
# Load added per unit of excess failure rate, as a multiple of the load: a server that fails all
# requests, while another one fails none, counts as 9 times as loaded.
FAILURE_FACTOR = 8.0


def usable_entries(
    directory: BackendDirectory,
    loads: LoadTable,
    service: str,
    now_ms: int,
    excluded: frozenset[str] = frozenset(),
) -> list[BackendEntry]:
    """Return the servers that may get new calls; degraded ones only if there is no other."""
    present = [
        entry for entry in ready_entries(directory, service) if entry.server_id not in excluded
    ]
    healthy = [entry for entry in present if not is_degraded(loads, entry, now_ms)]
    return healthy or present


def lowest_failure_rate(directory: BackendDirectory, loads: LoadTable, service: str) -> float:
    """Return the failure rate of the best server of a service."""
    rates = (
        loads.targets[entry.server_id].failure_rate
        for entry in directory.services.get(service, ())
        if entry.server_id in loads.targets
    )
    return min(rates, default=0.0)


def failure_is_common(
    directory: BackendDirectory, loads: LoadTable, service: str, route: str
) -> bool:
    """Return whether the servers of a route fail alike, so that a retry would fail, too.

    The failure rate of the best server shows this if the node has sent enough calls to each one.
    In a service of many servers some get few calls and have no failure yet, so the failure rate
    of the route is checked as well.
    """
    if lowest_failure_rate(directory, loads, service) > COMMON_FAILURE_RATE:
        return True
    return loads.failure_rates.get(route, 0.0) > COMMON_ROUTE_FAILURE_RATE


def is_degraded(loads: LoadTable, entry: BackendEntry, now_ms: int) -> bool:
    """Return whether a server is ejected or excluded after a refusal."""
    target = loads.targets.get(entry.server_id)
    return target is not None and max(target.ejected_until_ms, target.refused_until_ms) > now_ms


def load_of(loads: LoadTable, entry: BackendEntry, now_ms: int, lowest_rate: float = 0.0) -> float:
    """Return the expected calls per slot of a server after one more call.

    Only failures above the lowest rate of the service count: failures that all servers share may
    come from a service that they call.
    """
    factor = COLD_FACTOR if entry.warm_until_ms > now_ms else 1.0
    target = loads.targets.get(entry.server_id)
    if target is None:
        return factor / max(1, entry.slots)
    factor *= 1 + FAILURE_FACTOR * max(0.0, target.failure_rate - lowest_rate)
    load = (estimated_calls(target) + 1) * factor / max(1, entry.slots)
    return load + SLOWNESS_LOAD * max(0.0, slowness_of(target, now_ms) - 1)


def slowness_of(target: TargetLoad, now_ms: int) -> float:
    """Return the response time of a server relative to the usual one.

    The excess above 1 decays while there are no new responses.
    """
    if target.slowness == 1.0:
        return 1.0
    age_ms = now_ms - target.slowness_ms
    return 1.0 + (target.slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)


def estimated_calls(target: TargetLoad) -> int:
    """Return the calls at a server: those last reported plus the calls sent since by this node."""
    return max(target.in_flight, target.reported + target.in_flight - target.in_flight_at_report)


def choose_backend(
    directory: BackendDirectory,
    loads: LoadTable,
    service: str,
    now_ms: int,
    random: Random,
    excluded: frozenset[str] = frozenset(),
) -> BackendEntry | None:
    """Return the least loaded of a few random servers; prefer those of the local data centre."""
    usable = usable_entries(directory, loads, service, now_ms, excluded)
    lowest_rate = lowest_failure_rate(directory, loads, service)
    local = [entry for entry in usable if entry.data_centre == loads.data_centre]
    remote = [entry for entry in usable if entry.data_centre != loads.data_centre]

    best, least = None, 0.0
    for distance, entries in ((0.0, local), (REMOTE_LOAD, remote)):
        if best is not None and least <= distance:
            break
        for entry in sample_entries(entries, random):
            cost = load_of(loads, entry, now_ms, lowest_rate) + distance
            if best is None or cost < least:
                best, least = entry, cost
    return best


def sample_entries(entries: list[BackendEntry], random: Random) -> list[BackendEntry]:
    """Return up to SERVERS_COMPARED random servers."""
    if len(entries) <= SERVERS_COMPARED:
        return entries
    return random.sample(entries, SERVERS_COMPARED)
