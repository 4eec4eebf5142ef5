"""Choose the backend server of a call."""

from random import Random

from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import LoadTable, TargetLoad

# Up to this load calls stay in the own data centre; bytes between data centres cost.
NEAR_LOAD = 0.7
# A cold server serves about half of what its slots promise.
COLD_FACTOR = 2.0
# Each failure in a row makes a server look this much fuller.
FAILURE_FACTOR = 0.5


def usable_entries(
    directory: BackendDirectory,
    loads: LoadTable,
    service: str,
    now_ms: int,
    excluded: frozenset[str] = frozenset(),
) -> list[BackendEntry]:
    """Return the servers that may get new calls, the doubtful ones only if there is no other."""
    present = [
        entry
        for entry in directory.services.get(service, ())
        if not entry.draining and entry.server_id not in excluded
    ]
    sound = [entry for entry in present if not is_doubtful(loads, entry, now_ms)]
    return sound or present


def is_doubtful(loads: LoadTable, entry: BackendEntry, now_ms: int) -> bool:
    """Tell whether a server was ejected or refused a call a moment ago."""
    target = loads.targets.get(entry.server_id)
    return target is not None and max(target.ejected_until_ms, target.refused_until_ms) > now_ms


def load_of(loads: LoadTable, entry: BackendEntry, now_ms: int) -> float:
    """Return the expected calls per slot of a server after one more call."""
    factor = COLD_FACTOR if entry.warm_ms > now_ms else 1.0
    target = loads.targets.get(entry.server_id)
    if target is None:
        return factor / max(1, entry.slots)
    factor *= 1 + FAILURE_FACTOR * target.failures
    return (calls_of(target) + 1) * factor / max(1, entry.slots)


def calls_of(target: TargetLoad) -> int:
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
    """Return a near server with room, else the less loaded of two random ones."""
    usable = usable_entries(directory, loads, service, now_ms, excluded)
    near = [entry for entry in usable if entry.data_centre == loads.data_centre]
    best = least_loaded(near, loads, now_ms, random)
    if best is not None and load_of(loads, best, now_ms) <= NEAR_LOAD:
        return best
    return least_loaded(usable, loads, now_ms, random)


def least_loaded(
    entries: list[BackendEntry], loads: LoadTable, now_ms: int, random: Random
) -> BackendEntry | None:
    """Return the less loaded of two random servers."""
    if len(entries) > 2:
        entries = random.sample(entries, 2)
    return min(entries, key=lambda entry: load_of(loads, entry, now_ms), default=None)
