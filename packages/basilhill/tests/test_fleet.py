"""Tests of leases, readers, the push tree and the shards of the fleet list."""

from basilhill.commands.fleet import (
    apply_fleet_list,
    discard_peer_reports,
    end_lease,
    record_fleet_read,
    record_heartbeat,
    record_incarnation,
    renew_lease,
)
from basilhill.commands.sections import merge_sections
from basilhill.commands.transits import record_transit
from basilhill.fleet import FleetReads, FleetView, Heartbeat, VmEntry, VmState
from basilhill.loads import RoutingTable
from basilhill.queries.fleet import (
    changed_shards,
    fleet_shards,
    is_down,
    listed_vms,
    monitored_readers,
    rendezvous_order,
    select_readers,
    tree_children,
)
from basilhill.queries.routing import find_subset, usable_servers
from basilhill.queries.transits import excess_transit_ms
from basilhill.sections import SectionTable
from basilhill.transits import TransitMeter

NODES = [f"10.0.0.{number}:1" for number in range(40)]
LIVE = Heartbeat(VmState.LIVE, 0, 0, 10)


def new_view(state=VmState.LIVE):
    fleet, routing = FleetView(), RoutingTable("a")
    entries = (VmEntry("n1", "shop", "a", state), VmEntry("n2", "shop", "b"))
    apply_fleet_list(fleet, routing, entries, frozenset({"shop"}), 0)
    return fleet, routing


def usable(routing, now_ms):
    return [server.node for server in usable_servers(routing, find_subset(routing, "shop"), now_ms)]


def test_server_whose_lease_expired_gets_no_calls_until_its_next_heartbeat():
    """Guard against calls to a stopped node whose stream is still open."""
    _fleet, routing = new_view()
    record_heartbeat(routing, "n1", LIVE, 100, 2_000)
    assert usable(routing, 2_099) == ["n1", "n2"]
    assert usable(routing, 2_100) == ["n2"]
    record_heartbeat(routing, "n1", LIVE, 5_000, 2_000)
    assert usable(routing, 5_000) == ["n1", "n2"]


def test_server_listed_as_leaving_stays_leaving_after_a_live_heartbeat():
    """Guard against new calls to a leaving server whose leaving notice was lost."""
    _fleet, routing = new_view(VmState.LEAVING)
    record_heartbeat(routing, "n1", LIVE, 100, 2_000)
    assert usable(routing, 100) == ["n2"]


def test_outdated_list_does_not_undo_a_leaving_notice():
    """Guard against new calls to a server whose leaving notice came before the updated list."""
    fleet, routing = new_view()
    record_heartbeat(routing, "n1", Heartbeat(VmState.LEAVING, 0, 0, 10), 100, 2_000)
    entries = tuple(fleet.vms.values())
    apply_fleet_list(fleet, routing, entries, frozenset({"shop"}), 200)
    assert usable(routing, 200) == ["n2"]


def test_old_reports_are_discarded_after_a_peer_restart_and_a_pause_of_the_node():
    """Guard against routing by leases and levels from before a restart or a pause."""
    fleet, routing = new_view()
    record_incarnation(fleet, routing, "n1", "one", 0)
    record_heartbeat(routing, "n1", Heartbeat(VmState.LEAVING, 50, 9, 10), 100, 2_000)
    assert record_incarnation(fleet, routing, "n1", "two", 8_000)
    assert usable(routing, 9_000) == ["n1", "n2"]
    assert routing.servers["n1"].level == 0
    renew_lease(fleet, "n1", "", 0, 2_000)
    discard_peer_reports(fleet, routing)
    assert fleet.leases == {}


def test_unresponsive_reader_is_replaced_by_the_next_in_order_after_the_wait():
    """Guard against a data centre without readers after readers became unresponsive."""
    fleet, routing = new_view()
    end_lease(fleet, routing, NODES[0], 1_000)
    end_lease(fleet, routing, NODES[0], 1_300)
    assert not is_down(fleet, NODES[0], 1_400, wait_ms=500)
    assert is_down(fleet, NODES[0], 1_500, wait_ms=500)
    assert select_readers(NODES, frozenset({NODES[0]}), 3) == NODES[1:4]
    assert monitored_readers(NODES, NODES[4], frozenset(), 3) == NODES[:4]
    assert monitored_readers(NODES, NODES[20], frozenset(), 3) == []


def test_push_tree_reaches_every_node_once_from_any_root():
    """Guard against nodes that no push reaches."""
    order = rendezvous_order(NODES, "a")
    for root in (*order[:3], "10.9.9.9:1"):
        reached, pending = [], [root]
        while pending:
            node = pending.pop()
            reached.append(node)
            pending += tree_children(order, root, node, 8)
        assert sorted(reached) == sorted({*order, root})


def test_outdated_read_of_the_fleet_list_does_not_replace_newer_entries():
    """Guard against a restarted reader that replaces newer shards by an outdated list."""
    old = fleet_shards((VmEntry("n1", "shop", "a"),))
    new = fleet_shards((VmEntry("n1", "shop", "a", VmState.LEAVING),))
    table, reads = SectionTable(), FleetReads()
    merge_sections(table, changed_shards(table, reads, new))
    for _ in range(3):
        assert changed_shards(table, reads, old) == ()
        record_fleet_read(reads, table, old)
    changed = changed_shards(table, reads, old)
    assert [shard.revision for shard in changed] == [2]
    merge_sections(table, changed)
    assert [entry.state for entry in listed_vms(table)] == [VmState.LIVE]


def test_excess_transit_time_shows_messages_that_waited_in_sockets():
    """Guard against a process that resumes after a suspension and accepts expired calls as new."""
    meter = TransitMeter()

    def observe(sent_ms: int, now_ms: int) -> int:
        record_transit(meter, sent_ms, now_ms)
        return excess_transit_ms(meter, sent_ms, now_ms)

    assert [observe(sent, now) for sent, now in ((0, 500), (100, 602))] == [0, 2]
    assert observe(200, 3_700) == 3_000
    assert observe(70_000, 70_500) == 0
