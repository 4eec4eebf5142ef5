"""Update the list of backend servers."""

from collections.abc import Iterable

from attrs import evolve

from basilhill.backends import BackendDirectory, BackendEntry

REMOVED_ENTRIES_LIMIT = 1_000


def put_entry(directory: BackendDirectory, entry: BackendEntry) -> bool:
    """Add or replace an entry; return whether anything but its warm-up time changed."""
    if directory.leaving.get(entry.server_id, entry.started_ms) != entry.started_ms:
        # The server started again.
        del directory.leaving[entry.server_id]
    if entry.server_id in directory.leaving:
        entry = evolve(entry, draining=True)
    before = directory.entries.get(entry.server_id)
    directory.entries[entry.server_id] = entry
    directory.retained_until_ms.pop(entry.server_id, None)
    directory.removed_entries.pop(entry.server_id, None)
    group = directory.services.setdefault(entry.service, [])
    if before is not None:
        directory.services[before.service].remove(before)
    group.append(entry)
    if before is not None and before.address != entry.address:
        update_newest(directory, before.address)
    update_newest(directory, entry.address, entry)
    return before is None or evolve(before, warm_until_ms=entry.warm_until_ms) != entry


def update_newest(
    directory: BackendDirectory, address: str, added: BackendEntry | None = None
) -> None:
    """Update the id of the last started server at an address after an addition or a removal."""
    known = directory.entries.get(directory.newest_by_address.get(address, ""))
    if added is not None and (known is None or known.started_ms <= added.started_ms):
        directory.newest_by_address[address] = added.server_id
    elif known is None or known.address != address:
        listed = [entry for entry in directory.entries.values() if entry.address == address]
        directory.newest_by_address.pop(address, None)
        if listed:
            newest = max(listed, key=lambda entry: entry.started_ms)
            directory.newest_by_address[address] = newest.server_id


def remove_entry(directory: BackendDirectory, server_id: str) -> bool:
    """Remove an entry; return whether it was listed."""
    entry = directory.entries.pop(server_id, None)
    directory.retained_until_ms.pop(server_id, None)
    if entry is None:
        return False
    directory.services[entry.service].remove(entry)
    update_newest(directory, entry.address)
    directory.removed_entries[server_id] = entry
    if len(directory.removed_entries) > REMOVED_ENTRIES_LIMIT:
        oldest_id = next(iter(directory.removed_entries))
        del directory.removed_entries[oldest_id]
        directory.leaving.pop(oldest_id, None)
    return True


def mark_leaving(directory: BackendDirectory, server_id: str) -> bool:
    """Count a server as draining after it stated that it leaves; return whether that is new."""
    if server_id in directory.leaving:
        return False
    listed = directory.entries.get(server_id)
    entry = listed or directory.removed_entries.get(server_id)
    if entry is None:
        return False
    directory.leaving[server_id] = entry.started_ms
    if listed is None:
        directory.removed_entries[server_id] = evolve(entry, draining=True)
        return True
    retained_until_ms = directory.retained_until_ms.get(server_id)
    put_entry(directory, entry)
    if retained_until_ms is not None:
        directory.retained_until_ms[server_id] = retained_until_ms
    return True


def replace_entries(
    directory: BackendDirectory, entries: Iterable[BackendEntry], retained_until_ms: int = 0
) -> tuple[set[str], set[str]]:
    """Apply a complete list; return the ids that changed and those missing from it.

    After an outage of the store, missing entries are retained until `retained_until_ms`, because
    live servers register again within seconds once the store is back.
    """
    listed = {entry.server_id: entry for entry in entries}
    missing = directory.entries.keys() - listed.keys()
    changed = {entry.server_id for entry in listed.values() if put_entry(directory, entry)}
    for server_id in missing:
        if retained_until_ms:
            directory.retained_until_ms.setdefault(server_id, retained_until_ms)
        else:
            remove_entry(directory, server_id)
    return changed, missing


def expire_retained(directory: BackendDirectory, now_ms: int) -> set[str]:
    """Remove retained entries that were not registered again in time; return their ids."""
    expired = {key for key, until_ms in directory.retained_until_ms.items() if until_ms <= now_ms}
    for server_id in expired:
        remove_entry(directory, server_id)
    return expired
