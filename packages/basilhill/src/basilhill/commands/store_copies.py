"""Keep servers that left out of use after the store came back from an older copy of itself.

The copy lists a server that left since as it was before. The entry of one that is gone expires, as
no server renews it.
"""

from collections.abc import Iterable

from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.commands.backends import mark_leaving
from basilhill.queries.backends import known_entry


def withhold_departed(
    directory: BackendDirectory, entries: Iterable[BackendEntry]
) -> list[BackendEntry]:
    """Withhold the entries of removed servers; return the entries without those of earlier starts.

    Servers that drain stay draining. An entry is withheld until it changes, or for a limited time.
    """
    current = []
    for entry in entries:
        known = known_entry(directory, entry.server_id)
        if known is not None and entry.started_ms < known.started_ms:
            continue
        current.append(entry)
        if known is None or entry.started_ms > known.started_ms:
            continue
        if known.draining:
            mark_leaving(directory, entry.server_id)
        if entry.server_id not in directory.entries:
            directory.withheld[entry.server_id] = entry
    return current


def take_settled(directory: BackendDirectory, now_ms: int) -> list[BackendEntry]:
    """Return the withheld entries that are still listed when the time is over, once."""
    if now_ms < directory.withhold_until_ms:
        return []
    settled = list(directory.withheld.values())
    directory.withheld.clear()
    return settled
