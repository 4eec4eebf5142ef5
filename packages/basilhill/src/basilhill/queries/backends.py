"""Read the list of backend servers."""

from basilhill.backends import BackendDirectory, BackendEntry


def ready_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that may get calls.

    The entry of a server expires while its VM is partitioned from the store, though other nodes
    may still reach the server. An expired server without a leaving notice stays in use while its
    node reports that the store is unreachable. Any other expired server has left, also if it was
    the only one of its service.

    After a restart of the fleet, the entries of the previous servers expire seconds later. Of the
    entries with the same address, only that of the last started server is used.
    """
    ready = [
        entry
        for entry in directory.services.get(service, ())
        if not entry.draining and directory.newest_by_address.get(entry.address) == entry.server_id
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
        if entry.service == service
        and not entry.draining
        and entry.address not in directory.newest_by_address
    ]


def is_leaving(directory: BackendDirectory, server_id: str) -> bool:
    """Return whether a server gets no new calls, because it is draining or was deregistered."""
    entry = directory.entries.get(server_id)
    if entry is not None:
        return entry.draining
    removed = directory.removed_entries.get(server_id)
    return removed is not None and removed not in ready_entries(directory, removed.service)
