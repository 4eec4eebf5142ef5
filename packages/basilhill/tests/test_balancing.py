"""Tests of the choice of backend servers under simulated load, without network."""

from random import Random

from attrs import evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import CrossingCost, LoadTable
from basilhill.commands.backends import replace_entries
from basilhill.commands.balancing import (
    find_candidates,
    find_or_add_target,
    record_call_start,
    record_connection_failure,
    record_refusal,
    record_report,
    record_response,
    record_response_time,
    record_route_outcome,
    record_size,
    retain_targets,
)
from basilhill.queries.balancing import (
    choose_backend,
    crossing_cost_ms,
    failure_is_common,
    load_of,
)

NEAR = BackendEntry("i-near", "calendar", "10.0.0.1:80", "buc-a", 10)
FAR = BackendEntry("i-far", "calendar", "10.0.0.2:80", "clj-a", 10)
THIRD = BackendEntry("i-third", "calendar", "10.0.0.3:80", "ias-a", 10)


def chosen(
    entries, loads, now_ms=0, excluded=frozenset(), count=200, body_bytes=0
) -> dict[str, int]:
    directory = BackendDirectory()
    replace_entries(directory, entries)
    random = Random(3)
    counts: dict[str, int] = {}
    for _ in range(count):
        candidates = find_candidates(loads, directory, "calendar", now_ms)
        cost_ms = crossing_cost_ms(loads, CrossingCost(), "r-1", body_bytes)
        choice = choose_backend(candidates, loads, "r-1", cost_ms, now_ms, random, excluded)
        name = choice.entry.server_id if choice else ""
        counts[name] = counts.get(name, 0) + 1
    return counts


def test_local_server_is_used_while_it_has_free_capacity():
    assert chosen([NEAR, FAR, THIRD], LoadTable("buc-a")).keys() == {"i-near"}


def test_calls_leave_the_data_centre_when_that_saves_more_delay_than_it_costs():
    """Guard against traffic between data centres while the local server has free slots."""
    loads = LoadTable("buc-a")
    for running, expected in ((5, {"i-near"}), (10, {"i-far", "i-third"})):
        record_report(find_or_add_target(loads, "i-near"), running)
        assert chosen([NEAR, FAR, THIRD], loads).keys() == expected


def test_large_bodies_leave_the_data_centre_later_than_small_ones():
    """Guard against the same cost for a lookup and for an upload of a megabyte."""
    loads = LoadTable("buc-a")
    record_report(find_or_add_target(loads, "i-near"), running=12)
    assert "i-near" not in chosen([NEAR, FAR], loads)
    assert chosen([NEAR, FAR], loads, body_bytes=1 << 20).keys() == {"i-near"}
    record_report(find_or_add_target(loads, "i-near"), running=400)
    assert chosen([NEAR, FAR], loads, body_bytes=1 << 20).keys() == {"i-far"}


def test_usual_size_of_a_route_counts_for_large_responses():
    loads = LoadTable("buc-a")
    for _ in range(30):
        record_size(loads, "r-1", 1 << 20)
    assert crossing_cost_ms(loads, CrossingCost(10, 1_000), "r-1", 0) == 1_010
    assert crossing_cost_ms(loads, CrossingCost(10, 1_000), "r-2", 0) == 10


def test_data_centre_without_servers_sends_all_calls_to_others():
    assert chosen([FAR, THIRD], LoadTable("buc-a"), body_bytes=8 << 20).keys() == {
        "i-far",
        "i-third",
    }


def test_calls_stay_local_when_all_servers_are_full():
    """Guard against traffic between data centres that shortens no wait."""
    loads = LoadTable("buc-a")
    for entry in (NEAR, FAR, THIRD):
        record_report(find_or_add_target(loads, entry.server_id), running=10)
    assert chosen([NEAR, FAR, THIRD], loads).keys() == {"i-near"}


def test_calls_sent_since_a_report_are_added_to_it():
    """Guard against a burst to one server between two of its reports."""
    loads = LoadTable("buc-a")
    target = find_or_add_target(loads, "i-near")
    record_report(target, running=4)
    for _ in range(3):
        record_call_start(target)
    assert load_of(loads, NEAR, 0) == 0.8


def test_draining_and_excluded_servers_get_no_calls():
    entries = [evolve(NEAR, draining=True), FAR]
    assert chosen(entries, LoadTable("buc-a")).keys() == {"i-far"}
    assert chosen(entries, LoadTable("buc-a"), excluded=frozenset({"i-far"})).keys() == {""}


def test_server_that_refused_is_excluded_while_another_one_is_available():
    loads = LoadTable("buc-a")
    record_refusal(find_or_add_target(loads, "i-near"), 0, 50)
    assert "i-near" not in chosen([NEAR, FAR], loads, now_ms=10)
    assert chosen([NEAR], loads, now_ms=10).keys() == {"i-near"}
    assert "i-near" in chosen([NEAR, FAR], loads, now_ms=50)


def test_server_that_fails_half_of_its_requests_gets_no_more_calls():
    """Guard against calls to a server that passes health checks and fails every second request."""
    loads = LoadTable("buc-a")
    near, twin = NEAR, evolve(NEAR, server_id="i-twin", address="10.0.0.4:80")
    for entry in (near, twin):
        record_report(find_or_add_target(loads, entry.server_id), running=3)
    for number in range(40):
        record_response(find_or_add_target(loads, "i-twin"), failed=number % 2 == 0)
    assert chosen([near, twin], loads).keys() == {"i-near"}


def test_failures_that_all_servers_share_do_not_shift_load():
    """Guard against moving load from healthy servers whose calls fail in a downstream service."""
    loads = LoadTable("buc-a")
    for entry in (NEAR, FAR):
        for _ in range(40):
            record_response(find_or_add_target(loads, entry.server_id), failed=True)
    assert chosen([NEAR, FAR], loads).keys() == {"i-near"}


def test_slow_server_loses_its_calls_to_another_data_centre_and_gets_them_back():
    """Guard against a full share of calls for a local server that responds ten times slower."""
    loads = LoadTable("buc-a")
    for entry in (NEAR, FAR):
        for _ in range(30):
            record_response_time(loads, find_or_add_target(loads, entry.server_id), "r-1", 20, 0)
    for _ in range(20):
        record_response_time(loads, find_or_add_target(loads, "i-near"), "r-1", 200, 1_000)
    assert chosen([NEAR, FAR], loads, now_ms=1_000).keys() == {"i-far"}
    assert chosen([NEAR, FAR], loads, now_ms=9_000).keys() == {"i-near"}


def test_servers_of_different_speed_share_load():
    """Guard against sending all calls to the fastest server."""
    loads = LoadTable("buc-a")
    near, twin = NEAR, evolve(NEAR, server_id="i-twin", address="10.0.0.4:80")
    for _ in range(50):
        record_response_time(loads, find_or_add_target(loads, "i-near"), "r-1", 14, 0)
        record_response_time(loads, find_or_add_target(loads, "i-twin"), "r-1", 30, 0)
    record_report(find_or_add_target(loads, "i-near"), running=4)
    assert "i-twin" in chosen([near, twin], loads)


def test_consecutive_lost_calls_eject_a_server_temporarily():
    loads = LoadTable("buc-a")
    target = find_or_add_target(loads, "i-near")
    assert [record_connection_failure(target, 0) for _ in range(4)] == [False, False, False, True]
    assert "i-near" not in chosen([NEAR, FAR], loads, now_ms=1_000)


def test_loads_of_deregistered_servers_are_removed():
    """Guard against a load table that grows with each restart in the fleet."""
    loads = LoadTable("buc-a")
    for number in range(50):
        find_or_add_target(loads, f"i-{number}")
    retain_targets(loads, {"i-7"})
    assert loads.targets.keys() == {"i-7"}


def test_cold_server_counts_as_loaded_by_a_factor_of_two():
    cold = evolve(NEAR, warm_until_ms=3_000)
    loads = LoadTable("buc-a")
    assert load_of(loads, cold, 0) == 2 * load_of(loads, cold, 3_000)


def fail_all(servers: int, calls: int, failing: float) -> tuple[BackendDirectory, LoadTable]:
    """Return the servers and their loads after calls to random servers of which a share fails."""
    directory, loads, random = BackendDirectory(), LoadTable("buc-a"), Random(4)
    entries = [
        evolve(NEAR, server_id=f"i-{number}", address=f"10.0.1.{number}:80")
        for number in range(servers)
    ]
    replace_entries(directory, entries)
    for _ in range(calls):
        failed = random.random() < failing
        record_response(find_or_add_target(loads, random.choice(entries).server_id), failed)
        record_route_outcome(loads, "browse", failed)
    return directory, loads


def test_failures_that_all_of_many_servers_share_are_not_retried():
    """Guard against retries of requests that fail downstream, each of which repeats all its calls.

    A node of a large fleet sends so few calls to each of 30 servers that some have no failure.
    """
    directory, loads = fail_all(servers=30, calls=80, failing=0.6)
    assert failure_is_common(directory, loads, "calendar", "browse")
    assert not failure_is_common(directory, loads, "calendar", "another route")


def test_failures_of_a_few_of_many_servers_are_retried():
    directory, loads = fail_all(servers=30, calls=80, failing=0.1)
    assert not failure_is_common(directory, loads, "calendar", "browse")
