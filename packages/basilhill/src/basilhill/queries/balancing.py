"""Choose the backend server of a call.

Pattern of load: servers of one service that differ in speed and in their share of failures, data
centres with too few servers of their own, and large bodies. A choice compares a few servers,
whatever the size of the service.
"""

from collections.abc import Iterator
from random import Random
from typing import Protocol

from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import (
    Candidates,
    Choice,
    CrossingCost,
    LoadTable,
    ServerPool,
    TargetLoad,
)

# Servers compared for one call. Two suffice to spread load and to avoid that all nodes choose the
# same server; three select one of the faster servers more often.
SERVERS_COMPARED = 3
# Up to this many servers of a data centre all are compared.
SMALL_SERVICE = 6
# Load from which on calls wait: servers queue or slow down when nearly all slots are in use.
WAITING_LOAD = 0.7
# Response time of a route that has had no response yet, in ms.
UNKNOWN_USUAL_MS = 50.0
# Delay of a server that still has free slots, as a multiple of the usual response time.
FREE_DELAY = 0.2
BYTES_PER_MB = 1 << 20
NO_LOCAL_SERVER = "no server here"
SHORTER_DELAY = "shorter delay"
# Load added per multiple of the usual response time above 1, as a share of the slots.
SLOWNESS_LOAD = 0.15
# Slowness below this counts as the spread of response times when data centres are compared.
SPREAD_SLOWNESS = 2.0
# Bounds of the speed of a server relative to the usual one.
FASTEST = 0.4
# Half-life of the slowness of a server without new responses, so that it gets calls again.
SLOWNESS_HALF_LIFE_MS = 2_000
# Half-life of the load that a server reported, without a newer report.
REPORT_HALF_LIFE_MS = 10_000
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


class UsableEntries(Protocol):
    """Selection of the servers that may get a call."""

    def __call__(
        self,
        entries: list[BackendEntry],
        loads: LoadTable,
        now_ms: int,
        excluded: frozenset[str],
    ) -> Iterator[BackendEntry]:
        """Yield the servers that may get a call."""
        ...


def is_degraded(loads: LoadTable, entry: BackendEntry, now_ms: int) -> bool:
    """Return whether a server is ejected or excluded after a refusal."""
    target = loads.targets.get(entry.server_id)
    return target is not None and max(target.ejected_until_ms, target.refused_until_ms) > now_ms


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


def load_of(loads: LoadTable, entry: BackendEntry, now_ms: int, lowest_rate: float = 0.0) -> float:
    """Return the expected calls per slot of a server after one more call.

    Only failures above the lowest rate of the service count: failures that all servers share may
    come from a service that they call.
    """
    factor = COLD_FACTOR if entry.warm_until_ms > now_ms else 1.0
    target = loads.targets.get(entry.server_id)
    if target is None:
        return factor / max(1, entry.slots)
    slowness = slowness_of(target, now_ms)
    factor *= max(FASTEST, slowness)
    factor *= 1 + FAILURE_FACTOR * max(0.0, target.failure_rate - lowest_rate)
    load = (estimated_calls(target, now_ms) + 1) * factor / max(1, entry.slots)
    return load + SLOWNESS_LOAD * max(0.0, slowness - 1)


def delay_of(loads: LoadTable, entry: BackendEntry, now_ms: int, lowest_rate: float) -> float:
    """Return the expected delay of a call at a server, as a multiple of the usual response time.

    The time lost by a failure counts as that of several calls.
    """
    target = loads.targets.get(entry.server_id)
    if target is None:
        return 0.0
    factor = COLD_FACTOR if entry.warm_until_ms > now_ms else 1.0
    load = (estimated_calls(target, now_ms) + 1) * factor / max(1, entry.slots)
    failures = FAILURE_FACTOR * max(0.0, target.failure_rate - lowest_rate)
    slowness = max(0.0, slowness_of(target, now_ms) - SPREAD_SLOWNESS)
    return max(0.0, load - WAITING_LOAD) + slowness + failures


def slowness_of(target: TargetLoad, now_ms: int) -> float:
    """Return the response time of a server relative to the usual one.

    The excess above 1 decays while there are no new responses.
    """
    if target.slowness == 1.0:
        return 1.0
    age_ms = now_ms - target.slowness_ms
    return 1.0 + (target.slowness - 1.0) * 0.5 ** (age_ms / SLOWNESS_HALF_LIFE_MS)


def estimated_calls(target: TargetLoad, now_ms: int) -> float:
    """Return the calls at a server: those last reported plus the calls sent since by this node.

    A report loses its weight with its age, so that a server that was full gets calls again.
    """
    weight = 0.5 ** (max(0, now_ms - target.reported_ms) / REPORT_HALF_LIFE_MS)
    sent_since = target.in_flight - target.in_flight_at_report
    return max(target.in_flight, target.reported * weight + sent_since)


def crossing_cost_ms(loads: LoadTable, cost: CrossingCost, route: str, body_bytes: int) -> float:
    """Return the time that a call must save to leave the data centre, in ms."""
    size = max(body_bytes, loads.usual_bytes.get(route, 0.0))
    return cost.base_ms + cost.ms_per_mb * size / BYTES_PER_MB


def choose_backend(
    candidates: Candidates,
    loads: LoadTable,
    route: str,
    cost_ms: float,
    now_ms: int,
    random: Random,
    excluded: frozenset[str] = frozenset(),
) -> Choice | None:
    """Return the least loaded of a few servers, which leaves the data centre only if that pays.

    Calls stay while all data centres are as full: no delay would be saved.
    """
    rate = candidates.lowest_rate
    for usable in (healthy_entries, responsive_entries, present_entries):

        def best(pool: ServerPool, usable: UsableEntries = usable) -> BackendEntry | None:
            found = compared_entries(pool, usable, loads, now_ms, random, excluded)
            random.shuffle(found)
            return min(found, key=lambda one: load_of(loads, one, now_ms, rate), default=None)

        local = best(candidates.local)
        delay = 0.0 if local is None else delay_of(loads, local, now_ms, rate)
        usual_ms = loads.usual_ms.get(route, UNKNOWN_USUAL_MS)
        if local is not None and delay * usual_ms <= cost_ms:
            return Choice(local)
        remote = best(candidates.remote)
        if remote is not None:
            remote_delay = delay_of(loads, remote, now_ms, rate)
            if local is None:
                if remote_delay > FREE_DELAY and usable is healthy_entries:
                    # Local servers that have just refused a call may be no fuller.
                    continue
                return Choice(remote, NO_LOCAL_SERVER)
            saved_ms = (delay - remote_delay) * usual_ms
            if saved_ms > cost_ms:
                return Choice(remote, SHORTER_DELAY, saved_ms)
        if local is not None:
            return Choice(local)
    return None


def compared_entries(
    pool: ServerPool,
    usable: UsableEntries,
    loads: LoadTable,
    now_ms: int,
    random: Random,
    excluded: frozenset[str],
) -> list[BackendEntry]:
    """Return the usable ones of a few servers; of all only if none of the few is usable."""
    sample = sample_entries(pool.entries, random)
    if pool.last is not None and len(sample) < len(pool.entries) and pool.last not in sample:
        sample.append(pool.last)
    found = list(usable(sample, loads, now_ms, excluded))
    if not found and len(sample) < len(pool.entries):
        return list(usable(pool.entries, loads, now_ms, excluded))
    return found


def healthy_entries(
    entries: list[BackendEntry], loads: LoadTable, now_ms: int, excluded: frozenset[str]
) -> Iterator[BackendEntry]:
    """Yield the servers that are neither excluded nor degraded."""
    for entry in entries:
        if entry.server_id not in excluded and not is_degraded(loads, entry, now_ms):
            yield entry


def responsive_entries(
    entries: list[BackendEntry], loads: LoadTable, now_ms: int, excluded: frozenset[str]
) -> Iterator[BackendEntry]:
    """Yield the servers that are neither excluded nor ejected, also those that refused a call."""
    for entry in entries:
        target = loads.targets.get(entry.server_id)
        ejected = target is not None and target.ejected_until_ms > now_ms
        if entry.server_id not in excluded and not ejected:
            yield entry


def present_entries(
    entries: list[BackendEntry], loads: LoadTable, now_ms: int, excluded: frozenset[str]
) -> Iterator[BackendEntry]:
    """Yield the servers that are not excluded, also degraded ones."""
    return (entry for entry in entries if entry.server_id not in excluded)


def sample_entries(entries: list[BackendEntry], random: Random) -> list[BackendEntry]:
    """Return up to SERVERS_COMPARED random servers, or all of a few."""
    if len(entries) <= SMALL_SERVICE:
        return entries
    return random.sample(entries, SERVERS_COMPARED)
