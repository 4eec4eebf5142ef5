"""Update the list of backend servers."""

from collections.abc import Iterable

from attrs import evolve

from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.queries.backends import has_stated_leaving, is_replaced, known_entry

REMOVED_ENTRIES_LIMIT = 1_000


def put_entry(directory: BackendDirectory, entry: BackendEntry) -> bool:
    """Add or replace an entry; return whether anything but its warm-up time changed.

    An entry that was only retained until now has changed.
    """
    if has_stated_leaving(directory, entry):
        entry = evolve(entry, draining=True)
    before = directory.entries.get(entry.server_id)
    if before is not None and before.started_ms != entry.started_ms:
        directory.refuted.discard(entry.server_id)
    directory.generation += 1
    directory.entries[entry.server_id] = entry
    was_retained = directory.retained_until_ms.pop(entry.server_id, None) is not None
    directory.removed_entries.pop(entry.server_id, None)
    directory.withheld.pop(entry.server_id, None)
    group = directory.services.setdefault(entry.service, [])
    if before is not None:
        directory.services[before.service].remove(before)
    group.append(entry)
    if before is not None:
        remove_address(directory, before)
    add_address(directory, entry)
    return (
        before is None or was_retained or evolve(before, warm_until_ms=entry.warm_until_ms) != entry
    )


def add_address(directory: BackendDirectory, entry: BackendEntry) -> None:
    """List a server at its address."""
    listed = directory.newest_by_address.setdefault(entry.address, [])
    listed.insert(0, entry)
    listed.sort(key=lambda one: one.started_ms, reverse=True)
    update_replaced(directory, entry.address)


def remove_address(directory: BackendDirectory, entry: BackendEntry) -> None:
    """Remove a server from those at its address."""
    listed = directory.newest_by_address[entry.address]
    listed.remove(entry)
    directory.replaced.discard(entry.server_id)
    if listed:
        update_replaced(directory, entry.address)
    else:
        del directory.newest_by_address[entry.address]


def update_replaced(directory: BackendDirectory, address: str) -> None:
    """Determine again which of the servers at an address get no calls because of another one."""
    for entry in directory.newest_by_address[address]:
        if is_replaced(directory, entry):
            directory.replaced.add(entry.server_id)
        else:
            directory.replaced.discard(entry.server_id)


def refute_entry(directory: BackendDirectory, server_id: str) -> bool:
    """Record that a server refused an id as not its own; return whether another entry gains by it.

    An id alone at its address is not recorded: there is no other server to use in its place.
    """
    entry = directory.entries.get(server_id)
    if entry is None or server_id in directory.refuted:
        return False
    if len(directory.newest_by_address[entry.address]) == 1:
        return False
    directory.generation += 1
    directory.refuted.add(server_id)
    update_replaced(directory, entry.address)
    return True


def remove_entry(directory: BackendDirectory, server_id: str) -> bool:
    """Remove an entry; return whether it was listed."""
    entry = directory.entries.pop(server_id, None)
    directory.retained_until_ms.pop(server_id, None)
    directory.withheld.pop(server_id, None)
    if entry is None:
        return False
    directory.generation += 1
    directory.services[entry.service].remove(entry)
    remove_address(directory, entry)
    directory.refuted.discard(server_id)
    directory.removed_entries[server_id] = entry
    if len(directory.removed_entries) > REMOVED_ENTRIES_LIMIT:
        oldest_id = next(iter(directory.removed_entries))
        del directory.removed_entries[oldest_id]
        directory.leaving.pop(oldest_id, None)
    return True


def mark_leaving(directory: BackendDirectory, server_id: str) -> bool:
    """Count a server as draining after it stated that it leaves; return whether that is new."""
    entry = known_entry(directory, server_id)
    if entry is None or has_stated_leaving(directory, entry):
        return False
    directory.generation += 1
    directory.leaving[server_id] = entry.started_ms
    if server_id not in directory.entries:
        directory.removed_entries[server_id] = evolve(entry, draining=True)
        return True
    retained_until_ms = directory.retained_until_ms.get(server_id)
    put_entry(directory, entry)
    if retained_until_ms is not None:
        directory.retained_until_ms[server_id] = retained_until_ms
    return True


def set_detached(directory: BackendDirectory, addresses: set[str]) -> None:
    """Record the addresses of the servers whose node cannot reach the store."""
    if addresses != directory.detached_addresses:
        directory.generation += 1
        directory.detached_addresses = addresses


def replace_entries(
    directory: BackendDirectory, entries: Iterable[BackendEntry], retained_until_ms: int = 0
) -> tuple[set[str], set[str]]:
    """Apply a complete list; return the ids that changed and those missing from it.

    After an outage of the store, missing entries are retained until `retained_until_ms`, because
    live servers register again within seconds once the store is back. Withheld entries are not
    applied.
    """
    listed = {entry.server_id: entry for entry in entries}
    expired = directory.withheld.keys() - listed.keys()
    for server_id in expired:
        del directory.withheld[server_id]
    for server_id in directory.withheld:
        del listed[server_id]
    missing = directory.entries.keys() - listed.keys()
    changed = {entry.server_id for entry in listed.values() if put_entry(directory, entry)}
    for server_id in missing:
        if retained_until_ms:
            directory.retained_until_ms.setdefault(server_id, retained_until_ms)
        else:
            remove_entry(directory, server_id)
    return changed, missing | expired


def expire_retained(directory: BackendDirectory, now_ms: int) -> set[str]:
    """Remove retained entries that were not registered again in time; return their ids."""
    expired = {key for key, until_ms in directory.retained_until_ms.items() if until_ms <= now_ms}
    for server_id in expired:
        remove_entry(directory, server_id)
    return expired
