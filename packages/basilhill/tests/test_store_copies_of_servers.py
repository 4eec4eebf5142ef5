"""Tests of the list of servers after the store came back from an older copy of itself."""

from attrs import evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.commands.backends import put_entry, remove_entry, replace_entries
from basilhill.commands.store_copies import take_settled, withhold_departed
from basilhill.queries.backends import ready_entries

FIRST = BackendEntry("i-1", "calendar", "10.0.0.1:80", "a", 10, started_ms=5)
SECOND = BackendEntry("i-2", "calendar", "10.0.0.2:80", "a", 10, started_ms=6)


def after_copy(*entries: BackendEntry, known: BackendEntry | None) -> BackendDirectory:
    """Return a directory with the second server in any known state, after a list of a copy."""
    directory = BackendDirectory()
    put_entry(directory, FIRST)
    put_entry(directory, known or SECOND)
    if known is None:
        remove_entry(directory, SECOND.server_id)
    directory.withhold_until_ms = 9_000
    replace_entries(directory, withhold_departed(directory, entries), retained_until_ms=2_800)
    return directory


def test_draining_server_stays_draining():
    """Guard against calls to a server that a copy lists as it was before it reported to drain."""
    directory = after_copy(FIRST, SECOND, known=evolve(SECOND, draining=True))
    assert ready_entries(directory, "calendar") == [FIRST]
    restarted = evolve(SECOND, started_ms=7)
    put_entry(directory, restarted)
    assert ready_entries(directory, "calendar") == [FIRST, restarted]


def test_removed_server_is_listed_again_only_if_its_entry_stays():
    """Guard against calls to a server that is gone, and against a live one that is never used."""
    directory = after_copy(FIRST, SECOND, known=None)
    assert ready_entries(directory, "calendar") == [FIRST]
    # A later list of the same store brings it back no sooner.
    replace_entries(directory, [FIRST, SECOND])
    assert ready_entries(directory, "calendar") == [FIRST]
    assert take_settled(directory, 8_999) == []
    assert take_settled(directory, 9_000) == [SECOND]
    assert take_settled(directory, 9_000) == []


def test_withheld_entry_ends_with_its_removal_and_with_a_new_one():
    """Guard against an entry that is used although the store removed it meanwhile."""
    directory = after_copy(FIRST, SECOND, known=None)
    remove_entry(directory, SECOND.server_id)
    assert take_settled(directory, 9_000) == []
    directory = after_copy(FIRST, SECOND, known=None)
    assert replace_entries(directory, [FIRST]) == (set(), {SECOND.server_id})
    assert take_settled(directory, 9_000) == []
    directory = after_copy(FIRST, SECOND, known=None)
    put_entry(directory, evolve(SECOND, slots=4))
    assert len(ready_entries(directory, "calendar")) == 2


def test_entry_of_an_earlier_start_does_not_replace_the_known_one():
    """Guard against calls to the id of a server that has restarted since the copy."""
    directory = after_copy(FIRST, SECOND, known=evolve(SECOND, started_ms=9))
    assert directory.entries[SECOND.server_id].started_ms == 9
    assert directory.retained_until_ms.keys() == {SECOND.server_id}


def test_retained_entry_that_is_written_again_has_changed():
    """Guard against followers that are not told of it and remove the server."""
    directory = after_copy(FIRST, known=SECOND)
    assert directory.retained_until_ms.keys() == {SECOND.server_id}
    assert put_entry(directory, SECOND) and not put_entry(directory, SECOND)
