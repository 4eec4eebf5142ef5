"""Read the list of backend servers."""

from basilhill.backends import BackendDirectory, BackendEntry


def ready_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that may get calls.

    The entry of a server lapses while its VM is cut off from the store, though nodes still reach
    it: one that vanished without notice stays in use while its own node says that it is cut off.
    A service without any other server uses all that vanished without notice: one that has really
    ended refuses the connection, and the calls would be refused anyway.

    Where a fleet restarts, the entries of its former servers lapse only seconds later; at each
    address the server that was born last is the one that is there.
    """
    ready = [
        entry
        for entry in directory.services.get(service, ())
        if not entry.draining and directory.newest.get(entry.address) == entry.server_id
    ]
    if directory.detached:
        deregistered = deregistered_entries(directory, service)
        ready += [entry for entry in deregistered if entry.address in directory.detached]
    return ready or deregistered_entries(directory, service)


def deregistered_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that vanished without notice and were not replaced."""
    return [
        entry
        for entry in directory.departed.values()
        if entry.service == service and not entry.draining and entry.address not in directory.newest
    ]


def is_leaving(directory: BackendDirectory, server_id: str) -> bool:
    """Tell whether a server may get no calls, because it drains or is gone."""
    entry = directory.entries.get(server_id)
    if entry is not None:
        return entry.draining
    gone = directory.departed.get(server_id)
    return gone is not None and gone not in ready_entries(directory, gone.service)
