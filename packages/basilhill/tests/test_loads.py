"""Tests of routing: choice of servers, ejection, ramp-up and reported admission levels."""

from random import Random

from basilhill.calls import CallContext, PriorityClass
from basilhill.commands.fleet import apply_fleet_list, record_heartbeat, record_incarnation
from basilhill.commands.routing import begin_call, end_call, record_levels, use_subset
from basilhill.fleet import FleetView, Heartbeat, VmEntry, VmState
from basilhill.loads import RoutingTable, ServerLoad
from basilhill.outcomes import ServiceLevel
from basilhill.queries.routing import choose_server, known_levels, service_level, usable_servers

CONTEXT = CallContext("action", "", PriorityClass.BROWSE, 10_000, cohort=0)
NOW_MS = 50_000


def entry(number: int, service: str = "stock", data_centre: str = "dc-1") -> VmEntry:
    return VmEntry(f"10.0.0.{number}:1", service, data_centre)


def new_table(entries: list[VmEntry], now_ms: int = 100) -> RoutingTable:
    table = RoutingTable("dc-1", "10.0.0.1:1")
    services = frozenset(vm.service for vm in entries)
    apply_fleet_list(FleetView(), table, entries, services, now_ms)
    return table


def choices(table: RoutingTable, now_ms: int = NOW_MS, count: int = 200) -> set[str]:
    subset, random = use_subset(table, "stock", now_ms), Random(1)
    chosen = (choose_server(table, subset, CONTEXT, now_ms, random) for _ in range(count))
    return {result.ok.node for result in chosen}


def fail(table: RoutingTable, server: ServerLoad, now_ms: int, times: int = 5) -> None:
    for _ in range(times):
        begin_call(server)
        end_call(table, server, True, now_ms, Random(1))


def heartbeat(in_flight: int = 0, limit: int = 10, levels=()) -> Heartbeat:
    return Heartbeat(VmState.LIVE, 0, in_flight, limit, levels=levels)


def test_subset_is_stable_and_contains_servers_of_other_data_centres():
    entries = [entry(number) for number in range(2, 40)]
    entries += [entry(number, data_centre="dc-2") for number in range(50, 60)]
    table = new_table(entries)
    first = [server.node for server in use_subset(table, "stock", 0).servers]
    apply_fleet_list(FleetView(), table, [*entries, entry(99)], frozenset({"stock"}), 200)
    second = [server.node for server in use_subset(table, "stock", 0).servers]
    assert len(first) == len(second) == 20
    assert len(set(first) & set(second)) >= 19
    assert sum(table.servers[node].data_centre == "dc-2" for node in first) == 5


def test_calls_go_to_another_data_centre_when_the_local_servers_are_full():
    table = new_table([entry(2), entry(3, data_centre="dc-2")])
    for node in table.servers:
        record_heartbeat(table, node, heartbeat(), NOW_MS, 2_000)
    assert choices(table) == {"10.0.0.2:1"}
    record_heartbeat(table, "10.0.0.2:1", heartbeat(in_flight=10), NOW_MS, 2_000)
    assert choices(table) == {"10.0.0.3:1"}


def test_server_with_an_expired_lease_gets_no_calls_while_others_have_one():
    table = new_table([entry(2), entry(3)])
    record_heartbeat(table, "10.0.0.2:1", heartbeat(), NOW_MS - 3_000, 2_000)
    record_heartbeat(table, "10.0.0.3:1", heartbeat(), NOW_MS, 2_000)
    assert choices(table) == {"10.0.0.3:1"}
    assert choices(table, NOW_MS + 9_000) != set()


def test_server_whose_backend_is_down_gets_no_calls():
    table = new_table([entry(2), entry(3)])
    for node, limit in (("10.0.0.2:1", 0), ("10.0.0.3:1", 10)):
        record_heartbeat(table, node, heartbeat(limit=limit), NOW_MS, 2_000)
    assert choices(table) == {"10.0.0.3:1"}


def test_at_most_a_third_is_ejected_for_growing_periods_and_then_used_again():
    table = new_table([entry(number) for number in range(2, 8)])
    subset = use_subset(table, "stock", NOW_MS)
    for server in subset.servers:
        fail(table, server, NOW_MS)
    ejected = [server for server in subset.servers if server.ejected_until_ms > NOW_MS]
    assert len(ejected) == 2
    server = ejected[0]
    first_ms, back_ms = server.ejected_until_ms - NOW_MS, server.ejected_until_ms
    assert server in usable_servers(table, subset, back_ms)
    fail(table, server, back_ms)
    assert server.ejected_until_ms - back_ms > 1.3 * first_ms


def test_new_server_is_ramped_up_but_servers_older_than_this_node_are_not():
    entries = [entry(2), entry(3)]
    table = new_table(entries, now_ms=1_000)
    apply_fleet_list(FleetView(), table, [*entries, entry(4)], frozenset({"stock"}), NOW_MS)
    for node in table.servers:
        record_heartbeat(table, node, heartbeat(in_flight=3), NOW_MS, 2_000)
    assert choices(table) == {"10.0.0.2:1", "10.0.0.3:1"}
    for node in table.servers:
        record_heartbeat(table, node, heartbeat(in_flight=3), NOW_MS + 10_000, 2_000)
    assert "10.0.0.4:1" in choices(table, NOW_MS + 10_000)


def test_restarted_server_is_ramped_up_again():
    """Guard against full load on a restarted server that its callers still treat as warm."""
    table, fleet = new_table([entry(2), entry(3)]), FleetView()
    seen = {}
    for incarnation, now_ms in (("one", NOW_MS), ("two", 2 * NOW_MS)):
        record_incarnation(fleet, table, "10.0.0.2:1", incarnation, now_ms)
        for node in table.servers:
            record_heartbeat(table, node, heartbeat(in_flight=3), now_ms, 20_000)
        seen[incarnation] = choices(table, now_ms)
    assert seen == {"one": {"10.0.0.2:1", "10.0.0.3:1"}, "two": {"10.0.0.3:1"}}
    assert "10.0.0.2:1" in choices(table, 2 * NOW_MS + 10_000)


def test_server_whose_backend_was_down_is_ramped_up():
    """Guard against full load on a backend server that restarted while its node kept running."""
    table = new_table([entry(2), entry(3)])
    for limit, now_ms in ((10, NOW_MS), (0, NOW_MS + 100), (10, 2 * NOW_MS)):
        for node, reported in (("10.0.0.2:1", limit), ("10.0.0.3:1", 10)):
            record_heartbeat(table, node, heartbeat(3, reported), now_ms, 20_000)
    assert choices(table, 2 * NOW_MS) == {"10.0.0.3:1"}
    assert "10.0.0.2:1" in choices(table, 2 * NOW_MS + 10_000)


def test_level_report_expires_and_level_zero_replaces_it_immediately():
    table = new_table([entry(1, "shop"), entry(2, "cart")])
    record_levels(table, "10.0.0.2:1", (ServiceLevel("ledger", 300),), NOW_MS)
    assert service_level(table, "ledger", NOW_MS + 999, 1_000) == 300
    assert service_level(table, "ledger", NOW_MS + 1_000, 1_000) is None
    record_levels(table, "10.0.0.2:1", (ServiceLevel("ledger", 0),), NOW_MS + 10)
    assert service_level(table, "ledger", NOW_MS + 10, 1_000) == 0


def test_reports_of_siblings_and_of_the_node_itself_are_not_passed_on():
    """Guard against levels that never expire because nodes of a service repeat the reports."""
    table = new_table([entry(1, "shop"), entry(2, "shop")])
    for reporter in ("10.0.0.1:1", "10.0.0.2:1"):
        record_levels(table, reporter, (ServiceLevel("ledger", 300),), NOW_MS)
    assert service_level(table, "ledger", NOW_MS, 1_000) == 300
    assert known_levels(table, ["ledger"], NOW_MS, 1_000) == ()


def test_median_level_ignores_one_overloaded_server():
    table = new_table([entry(number) for number in (2, 3, 4)])
    use_subset(table, "stock", NOW_MS)
    for node, level in zip(table.servers, (0, 0, 380), strict=True):
        record_levels(table, node, (ServiceLevel("stock", level),), NOW_MS)
    assert service_level(table, "stock", NOW_MS, 1_000) == 0
