"""Tests of the list of backend servers: changes, departures and outages of the store."""

from attrs import evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.commands.backends import expire_held, put_entry, remove_entry, replace_entries
from basilhill.queries.backends import is_leaving, ready_entries

FIRST = BackendEntry("i-1", "calendar", "10.0.0.1:80", "buc-a", 10)
SECOND = BackendEntry("i-2", "calendar", "10.0.0.2:80", "buc-a", 10)


def directory(*entries: BackendEntry) -> BackendDirectory:
    filled = BackendDirectory()
    replace_entries(filled, entries)
    return filled


def test_put_tells_changes_from_repeats():
    filled = directory(FIRST)
    assert not put_entry(filled, evolve(FIRST, warm_ms=500))
    assert put_entry(filled, evolve(FIRST, draining=True))
    assert [entry.draining for entry in filled.services["calendar"]] == [True]


def test_entry_that_moves_to_another_service_leaves_the_old_one():
    filled = directory(FIRST)
    put_entry(filled, evolve(FIRST, service="deposits"))
    assert filled.services["calendar"] == []


def test_removed_server_counts_as_departed_until_it_registers_again():
    filled = directory(FIRST)
    assert remove_entry(filled, "i-1")
    assert "i-1" in filled.departed
    put_entry(filled, FIRST)
    assert "i-1" not in filled.departed


def test_servers_missing_after_an_outage_are_held_then_dropped():
    """Guards against losing live servers whose entries lapsed while the store was away."""
    filled = directory(FIRST, SECOND)
    _, missing = replace_entries(filled, [FIRST], held_until_ms=2_500)
    assert missing == {"i-2"} and "i-2" in filled.entries
    assert expire_held(filled, 2_499) == set()
    assert expire_held(filled, 2_500) == {"i-2"}
    assert filled.entries.keys() == {"i-1"}


def test_server_that_registers_again_after_an_outage_is_kept():
    filled = directory(FIRST, SECOND)
    replace_entries(filled, [FIRST], held_until_ms=2_500)
    put_entry(filled, SECOND)
    assert expire_held(filled, 9_999) == set()


def test_servers_missing_from_a_list_without_an_outage_are_gone_at_once():
    filled = directory(FIRST, SECOND)
    replace_entries(filled, [FIRST])
    assert filled.entries.keys() == {"i-1"}


def test_service_whose_entries_have_all_lapsed_keeps_its_servers():
    """Guards against a service that is refused whole while its VMs are cut off from the store.

    One of two servers drained before the entry of the other one lapsed.
    """
    filled = directory(FIRST, SECOND)
    put_entry(filled, evolve(FIRST, draining=True))
    remove_entry(filled, "i-2")
    assert ready_entries(filled, "calendar") == [SECOND]
    assert not is_leaving(filled, "i-2")
    remove_entry(filled, "i-1")
    assert ready_entries(filled, "calendar") == [SECOND]
    assert is_leaving(filled, "i-1")


def test_vanished_server_gets_nothing_while_another_one_is_listed():
    filled = directory(FIRST, SECOND)
    remove_entry(filled, "i-2")
    assert ready_entries(filled, "calendar") == [FIRST]
    assert is_leaving(filled, "i-2")


def test_vanished_server_whose_address_was_taken_over_gets_nothing():
    filled = directory(FIRST)
    remove_entry(filled, "i-1")
    put_entry(filled, evolve(FIRST, server_id="i-9", service="deposits"))
    assert ready_entries(filled, "calendar") == []
    assert is_leaving(filled, "i-1")


def test_server_whose_vm_is_cut_off_from_the_store_stays_in_use_when_its_entry_lapses():
    """Guards against a third of the servers idle while the others refuse for want of slots."""
    filled = directory(FIRST, SECOND)
    filled.detached = {SECOND.address}
    remove_entry(filled, "i-2")
    assert ready_entries(filled, "calendar") == [FIRST, SECOND]
    assert not is_leaving(filled, "i-2")
    filled.detached = set()
    assert ready_entries(filled, "calendar") == [FIRST]
    assert is_leaving(filled, "i-2")


def test_draining_server_is_not_kept_in_use_by_a_cut():
    filled = directory(FIRST, SECOND)
    filled.detached = {SECOND.address}
    put_entry(filled, evolve(SECOND, draining=True))
    remove_entry(filled, "i-2")
    assert ready_entries(filled, "calendar") == [FIRST]


def test_former_server_of_an_address_gets_nothing_while_its_entry_lapses():
    """Guards against calls to servers that a loss of power ended, refused by their successors."""
    reborn = evolve(FIRST, server_id="i-9", born_ms=2)
    filled = directory(FIRST, SECOND, reborn)
    assert ready_entries(filled, "calendar") == [SECOND, reborn]
    put_entry(filled, evolve(FIRST, warm_ms=700))
    assert ready_entries(filled, "calendar") == [SECOND, reborn]
    remove_entry(filled, "i-1")
    assert ready_entries(filled, "calendar") == [SECOND, reborn]


def test_server_of_an_address_is_used_again_when_the_one_after_it_is_gone():
    taken_over = evolve(FIRST, server_id="i-9", service="deposits", born_ms=2)
    filled = directory(FIRST, taken_over)
    assert ready_entries(filled, "calendar") == []
    remove_entry(filled, "i-9")
    assert ready_entries(filled, "calendar") == [FIRST]


def test_server_that_moved_is_used_at_its_new_address_only():
    filled = directory(FIRST)
    moved = evolve(FIRST, address="10.0.0.9:80")
    put_entry(filled, moved)
    assert ready_entries(filled, "calendar") == [moved]
    assert filled.newest == {"10.0.0.9:80": "i-1"}
