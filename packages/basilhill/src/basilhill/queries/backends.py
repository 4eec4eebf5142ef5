"""Read the list of backend servers."""

from basilhill.backends import BackendDirectory, BackendEntry


def ready_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that may get calls.

    The entry of a server expires while its VM is partitioned from the store, though other nodes
    may still reach the server. An expired server without a leaving notice stays in use while its
    node reports that the store is unreachable. Any other expired server has left, also if it was
    the only one of its service.

    """
    ready = [
        entry
        for entry in directory.services.get(service, ())
        if not entry.draining and entry.server_id not in directory.replaced
    ]
    if directory.detached_addresses:
        deregistered = deregistered_entries(directory, service)
        ready += [entry for entry in deregistered if entry.address in directory.detached_addresses]
    return ready


def deregistered_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that expired without draining and were not replaced.

    They have left, unless their nodes report that the store is unreachable.
    """
    return [
        entry
        for entry in directory.removed_entries.values()
        if entry.service == service and not entry.draining and not is_replaced(directory, entry)
    ]


def removed_at(directory: BackendDirectory, address: str) -> list[BackendEntry]:
    """Return the last entries of the deregistered servers at an address, none if one is listed."""
    if address in directory.newest_by_address:
        return []
    return [entry for entry in directory.removed_entries.values() if entry.address == address]


def known_entry(directory: BackendDirectory, server_id: str) -> BackendEntry | None:
    """Return the entry of a server, or its last one if the server was deregistered."""
    return directory.entries.get(server_id) or directory.removed_entries.get(server_id)


def server_at(directory: BackendDirectory, address: str, service: str) -> BackendEntry | None:
    """Return the listed server of a service at an address; a draining one only if it is alone."""
    listed = [
        entry
        for entry in directory.newest_by_address.get(address, ())
        if entry.service == service and entry.server_id not in directory.replaced
    ]
    return min(listed, key=lambda entry: entry.draining, default=None)


def is_replaced(directory: BackendDirectory, entry: BackendEntry) -> bool:
    """Return whether a server gets no calls because another one is listed at its address.

    After a restart of the fleet, the entries of the previous servers expire seconds later, so that
    the last started server of a service replaces the earlier ones. Any client of the store can
    write an entry with the address of a server, though. Therefore an entry of another service, a
    draining one, or one whose id was refused at the address replaces no server that was not
    refused.
    """
    refuted, is_later = entry.server_id in directory.refuted, True
    for other in directory.newest_by_address.get(entry.address, ()):
        if other.server_id == entry.server_id:
            is_later = False
        elif (other.server_id in directory.refuted) is not refuted:
            if refuted:
                return True
        elif is_later and other.service == entry.service and not other.draining:
            return True
    return False


def has_stated_leaving(directory: BackendDirectory, entry: BackendEntry) -> bool:
    """Return whether the server of an entry stated in this start or a later one that it leaves."""
    stated_ms = directory.leaving.get(entry.server_id)
    return stated_ms is not None and entry.started_ms <= stated_ms


def count_stated_leaving(directory: BackendDirectory) -> int:
    """Return the number of known servers that stated that they leave and did not start again."""
    known = (known_entry(directory, server_id) for server_id in directory.leaving)
    return sum(entry is not None and has_stated_leaving(directory, entry) for entry in known)


def is_leaving(directory: BackendDirectory, server_id: str) -> bool:
    """Return whether a server gets no new calls, because it is draining or was deregistered."""
    entry = directory.entries.get(server_id)
    if entry is not None:
        return entry.draining
    removed = directory.removed_entries.get(server_id)
    return removed is not None and removed not in ready_entries(directory, removed.service)
