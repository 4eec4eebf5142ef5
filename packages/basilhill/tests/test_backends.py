"""Tests of the list of backend servers: changes, deregistration and outages of the store."""

import pytest
from attrs import evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.commands.backends import (
    expire_retained,
    mark_leaving,
    put_entry,
    refute_entry,
    remove_entry,
    replace_entries,
)
from basilhill.queries.backends import (
    count_stated_leaving,
    deregistered_entries,
    is_leaving,
    ready_entries,
)

FIRST = BackendEntry("i-1", "calendar", "10.0.0.1:80", "buc-a", 10)
SECOND = BackendEntry("i-2", "calendar", "10.0.0.2:80", "buc-a", 10)


def directory(*entries: BackendEntry) -> BackendDirectory:
    listed = BackendDirectory()
    replace_entries(listed, entries)
    return listed


def test_put_entry_returns_whether_the_entry_changed():
    listed = directory(FIRST)
    assert not put_entry(listed, evolve(FIRST, warm_until_ms=500))
    assert put_entry(listed, evolve(FIRST, draining=True))
    assert [entry.draining for entry in listed.services["calendar"]] == [True]


def test_entry_that_moves_to_another_service_leaves_the_old_one():
    listed = directory(FIRST)
    put_entry(listed, evolve(FIRST, service="deposits"))
    assert listed.services["calendar"] == []


def test_removed_server_counts_as_deregistered_until_it_registers_again():
    listed = directory(FIRST)
    assert remove_entry(listed, "i-1")
    assert "i-1" in listed.removed_entries
    put_entry(listed, FIRST)
    assert "i-1" not in listed.removed_entries


def test_servers_missing_after_an_outage_are_retained_then_removed():
    """Guard against removal of live servers whose entries expired in an outage of the store."""
    listed = directory(FIRST, SECOND)
    _, missing = replace_entries(listed, [FIRST], retained_until_ms=2_500)
    assert missing == {"i-2"} and "i-2" in listed.entries
    assert expire_retained(listed, 2_499) == set()
    assert expire_retained(listed, 2_500) == {"i-2"}
    assert listed.entries.keys() == {"i-1"}


def test_server_that_registers_again_after_an_outage_is_kept():
    listed = directory(FIRST, SECOND)
    replace_entries(listed, [FIRST], retained_until_ms=2_500)
    put_entry(listed, SECOND)
    assert expire_retained(listed, 9_999) == set()


def test_servers_missing_from_a_list_without_an_outage_are_removed_immediately():
    listed = directory(FIRST, SECOND)
    replace_entries(listed, [FIRST])
    assert listed.entries.keys() == {"i-1"}


def test_service_whose_entries_have_all_expired_keeps_its_partitioned_servers():
    """Guard against refusal of all calls to a service whose VMs are partitioned from the store.

    One of two servers drained before the entry of the other one expired.
    """
    listed = directory(FIRST, SECOND)
    listed.detached_addresses = {SECOND.address}
    put_entry(listed, evolve(FIRST, draining=True))
    remove_entry(listed, "i-2")
    assert ready_entries(listed, "calendar") == [SECOND]
    assert not is_leaving(listed, "i-2")
    remove_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == [SECOND]
    assert is_leaving(listed, "i-1")


def test_only_server_of_a_service_gets_no_calls_after_its_entry_was_removed():
    """Guard against calls to a server that left without notice because there is no other one."""
    listed = directory(FIRST)
    remove_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == []
    assert is_leaving(listed, "i-1")
    assert deregistered_entries(listed, "calendar") == [FIRST]


def test_expired_server_gets_no_calls_while_another_one_is_listed():
    listed = directory(FIRST, SECOND)
    remove_entry(listed, "i-2")
    assert ready_entries(listed, "calendar") == [FIRST]
    assert is_leaving(listed, "i-2")


def test_expired_server_whose_address_is_reused_gets_no_calls():
    listed = directory(FIRST)
    remove_entry(listed, "i-1")
    put_entry(listed, evolve(FIRST, server_id="i-9", service="deposits"))
    assert ready_entries(listed, "calendar") == []
    assert is_leaving(listed, "i-1")


def test_server_partitioned_from_the_store_stays_in_use_when_its_entry_expires():
    """Guard against a third of the servers idle while the others refuse calls for lack of slots.

    The VM of the second server is partitioned from the store, so its entry expires.
    """
    listed = directory(FIRST, SECOND)
    listed.detached_addresses = {SECOND.address}
    remove_entry(listed, "i-2")
    assert ready_entries(listed, "calendar") == [FIRST, SECOND]
    assert not is_leaving(listed, "i-2")
    listed.detached_addresses = set()
    assert ready_entries(listed, "calendar") == [FIRST]
    assert is_leaving(listed, "i-2")


def test_draining_server_partitioned_from_the_store_gets_no_calls():
    listed = directory(FIRST, SECOND)
    listed.detached_addresses = {SECOND.address}
    put_entry(listed, evolve(SECOND, draining=True))
    remove_entry(listed, "i-2")
    assert ready_entries(listed, "calendar") == [FIRST]


def test_previous_server_of_an_address_gets_no_calls_until_its_entry_expires():
    """Guard against calls addressed to servers that a power failure terminated.

    The servers restarted at the same addresses refuse such calls.
    """
    restarted = evolve(FIRST, server_id="i-9", started_ms=2)
    listed = directory(FIRST, SECOND, restarted)
    assert ready_entries(listed, "calendar") == [SECOND, restarted]
    put_entry(listed, evolve(FIRST, warm_until_ms=700))
    assert ready_entries(listed, "calendar") == [SECOND, restarted]
    remove_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == [SECOND, restarted]


def test_previous_server_of_an_address_is_used_when_its_successor_is_removed():
    """Guard against a server that stays unused after the entry that replaced it is gone.

    An entry of another service replaces a server only once the address has refused the server.
    """
    taken_over = evolve(FIRST, server_id="i-9", service="deposits", started_ms=2)
    listed = directory(FIRST, taken_over)
    assert refute_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == []
    assert ready_entries(listed, "deposits") == [taken_over]
    remove_entry(listed, "i-9")
    assert ready_entries(listed, "calendar") == [FIRST]


@pytest.mark.parametrize("claim", [{"service": "no-such-service"}, {"draining": True}])
def test_entry_that_gets_no_calls_hides_no_server(claim):
    """Guard against an entry of another writer with the address of a server and a later start."""
    misleading = evolve(FIRST, server_id="i-9", started_ms=2, **claim)
    listed = directory(FIRST, SECOND, misleading)
    assert ready_entries(listed, "calendar") == [FIRST, SECOND]
    put_entry(listed, evolve(misleading, slots=1))
    assert ready_entries(listed, "calendar") == [FIRST, SECOND]
    listed.detached_addresses = {FIRST.address}
    remove_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == [SECOND, FIRST]


def test_entry_whose_id_was_refused_hides_no_server():
    """Guard against an entry of another writer that is used until it is removed."""
    misleading = evolve(FIRST, server_id="i-9", started_ms=2)
    listed = directory(FIRST, misleading)
    assert ready_entries(listed, "calendar") == [misleading]
    assert refute_entry(listed, "i-9") and not refute_entry(listed, "i-9")
    assert ready_entries(listed, "calendar") == [FIRST]
    put_entry(listed, evolve(misleading, slots=1))
    assert ready_entries(listed, "calendar") == [FIRST]
    reborn = evolve(misleading, started_ms=3)
    put_entry(listed, reborn)
    assert ready_entries(listed, "calendar") == [reborn] and not listed.refuted


def test_refused_ids_are_kept_only_while_their_entries_share_an_address():
    """Guard against a server without an alternative that is not used, and against a growing set."""
    listed = directory(FIRST)
    assert not refute_entry(listed, "i-1") and not refute_entry(listed, "i-7")
    assert ready_entries(listed, "calendar") == [FIRST]
    put_entry(listed, evolve(FIRST, server_id="i-9", started_ms=2))
    refute_entry(listed, "i-9")
    remove_entry(listed, "i-9")
    remove_entry(listed, "i-1")
    assert not listed.refuted and not listed.replaced and not listed.newest_by_address


def test_server_that_moved_is_used_at_its_new_address_only():
    listed = directory(FIRST)
    moved = evolve(FIRST, address="10.0.0.9:80")
    put_entry(listed, moved)
    assert ready_entries(listed, "calendar") == [moved]
    assert listed.newest_by_address == {"10.0.0.9:80": [moved]}


def test_server_that_states_that_it_leaves_stays_so_while_the_store_lists_it_as_ready():
    """Guard against new calls to a leaving server after the next change of its entry."""
    listed = directory(FIRST, SECOND)
    assert mark_leaving(listed, "i-1") and not mark_leaving(listed, "i-1")
    put_entry(listed, evolve(FIRST, warm_until_ms=500))
    replace_entries(listed, [FIRST, SECOND])
    assert ready_entries(listed, "calendar") == [SECOND]
    assert is_leaving(listed, "i-1")


def test_leaving_server_is_not_used_after_its_removal():
    """Guard against a server that left and is used because its service has no other one."""
    listed = directory(FIRST)
    mark_leaving(listed, "i-1")
    remove_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == [] and is_leaving(listed, "i-1")
    listed = directory(FIRST)
    listed.detached_addresses = {FIRST.address}
    remove_entry(listed, "i-1")
    assert ready_entries(listed, "calendar") == [FIRST]
    mark_leaving(listed, "i-1")
    assert ready_entries(listed, "calendar") == []


def test_server_that_started_again_is_not_leaving():
    """Guard against a mark that outlives the incarnation which stated that it leaves."""
    listed = directory(FIRST)
    mark_leaving(listed, "i-1")
    put_entry(listed, evolve(FIRST, started_ms=7))
    assert not is_leaving(listed, "i-1") and not count_stated_leaving(listed)


def test_old_record_after_a_new_start_is_still_of_a_leaving_server():
    """Guard against requests to a start that left, because a later one had ended its mark."""
    listed = directory(FIRST)
    mark_leaving(listed, "i-1")
    put_entry(listed, evolve(FIRST, started_ms=7))
    put_entry(listed, FIRST)
    assert is_leaving(listed, "i-1") and count_stated_leaving(listed) == 1
    put_entry(listed, evolve(FIRST, started_ms=7))
    assert not is_leaving(listed, "i-1")


def test_record_of_an_earlier_start_does_not_end_the_leaving():
    """Guard against requests to a leaving server after a peer without the newest entry sent its."""
    listed = directory(evolve(FIRST, started_ms=7))
    mark_leaving(listed, "i-1")
    put_entry(listed, evolve(FIRST, started_ms=3))
    assert is_leaving(listed, "i-1")
    put_entry(listed, evolve(FIRST, started_ms=7))
    assert is_leaving(listed, "i-1")


def test_leaving_server_missing_after_an_outage_is_removed_in_time():
    """Guard against an entry that stays because the server stated that it leaves."""
    listed = directory(FIRST)
    replace_entries(listed, [], retained_until_ms=2_500)
    mark_leaving(listed, "i-1")
    assert expire_retained(listed, 2_500) == {"i-1"}


def test_statement_of_an_unknown_server_changes_nothing():
    listed = directory(FIRST)
    assert not mark_leaving(listed, "i-9") and not listed.leaving


def test_changed_slots_of_a_server_are_a_change():
    """Guard against a node that goes on with the slots that its server had at its start."""
    directory = BackendDirectory()
    put_entry(directory, BackendEntry("i-1", "s", "10.0.0.1:1", "a", 8))
    assert not put_entry(directory, BackendEntry("i-1", "s", "10.0.0.1:1", "a", 8, False, 500))
    assert put_entry(directory, BackendEntry("i-1", "s", "10.0.0.1:1", "a", 20))
