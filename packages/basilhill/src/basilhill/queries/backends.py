"""Read the list of backend servers."""

from basilhill.backends import BackendDirectory, BackendEntry


def ready_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that may get calls.

    Entries lapse while their VMs are cut off from the store, though nodes still reach the servers.
    A service without any other server uses those that vanished without notice: one that has
    really ended refuses the connection, and the calls would be refused anyway.
    """
    listed = directory.services.get(service, ())
    ready = [entry for entry in listed if not entry.draining]
    return ready or vanished_entries(directory, service)


def vanished_entries(directory: BackendDirectory, service: str) -> list[BackendEntry]:
    """Return the servers of a service that vanished without notice and were not replaced."""
    taken = {entry.address for entry in directory.entries.values()}
    return [
        entry
        for entry in directory.departed.values()
        if entry.service == service and not entry.draining and entry.address not in taken
    ]


def is_leaving(directory: BackendDirectory, server_id: str) -> bool:
    """Tell whether a server may get no calls, because it drains or is gone."""
    entry = directory.entries.get(server_id)
    if entry is not None:
        return entry.draining
    gone = directory.departed.get(server_id)
    return gone is not None and gone not in ready_entries(directory, gone.service)
