"""Tests of the choice of backend servers under patterns of load, without network."""

from random import Random

from attrs import evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import LoadTable
from basilhill.commands.backends import replace_entries
from basilhill.commands.balancing import (
    begin_send,
    keep_targets,
    record_answer,
    record_loss,
    record_refusal,
    record_report,
    record_route_outcome,
    record_time,
    target_of,
)
from basilhill.queries.balancing import choose_backend, failure_is_common, load_of

NEAR = BackendEntry("i-near", "calendar", "10.0.0.1:80", "buc-a", 10)
FAR = BackendEntry("i-far", "calendar", "10.0.0.2:80", "clj-a", 10)
THIRD = BackendEntry("i-third", "calendar", "10.0.0.3:80", "ias-a", 10)


def chosen(entries, loads, now_ms=0, excluded=frozenset(), count=200) -> dict[str, int]:
    directory = BackendDirectory()
    replace_entries(directory, entries)
    random = Random(3)
    counts: dict[str, int] = {}
    for _ in range(count):
        entry = choose_backend(directory, loads, "calendar", now_ms, random, excluded)
        name = entry.server_id if entry else ""
        counts[name] = counts.get(name, 0) + 1
    return counts


def test_near_server_is_used_while_it_has_room():
    assert chosen([NEAR, FAR, THIRD], LoadTable("buc-a")).keys() == {"i-near"}


def test_calls_spill_to_other_data_centres_when_the_near_server_fills():
    loads = LoadTable("buc-a")
    record_report(target_of(loads, "i-near"), running=5)
    assert "i-near" not in chosen([NEAR, FAR, THIRD], loads)


def test_calls_stay_near_when_all_servers_are_full():
    """Guards against bytes between data centres that serve nobody better."""
    loads = LoadTable("buc-a")
    for entry in (NEAR, FAR, THIRD):
        record_report(target_of(loads, entry.server_id), running=10)
    assert chosen([NEAR, FAR, THIRD], loads).keys() == {"i-near"}


def test_own_calls_since_a_report_count_on_top_of_it():
    """Guards against a burst that goes to one server before it reports again."""
    loads = LoadTable("buc-a")
    target = target_of(loads, "i-near")
    record_report(target, running=4)
    for _ in range(3):
        begin_send(target)
    assert load_of(loads, NEAR, 0) == 0.8


def test_draining_and_tried_servers_get_nothing():
    entries = [evolve(NEAR, draining=True), FAR]
    assert chosen(entries, LoadTable("buc-a")).keys() == {"i-far"}
    assert chosen(entries, LoadTable("buc-a"), excluded=frozenset({"i-far"})).keys() == {""}


def test_server_that_refused_is_left_out_while_others_have_room():
    loads = LoadTable("buc-a")
    record_refusal(target_of(loads, "i-near"), 0, 50)
    assert "i-near" not in chosen([NEAR, FAR], loads, now_ms=10)
    assert chosen([NEAR], loads, now_ms=10).keys() == {"i-near"}
    assert "i-near" in chosen([NEAR, FAR], loads, now_ms=50)


def test_server_that_fails_part_of_its_requests_loses_most_of_them():
    """Guards against a server with good health that fails every second request."""
    loads = LoadTable("buc-a")
    near, twin = NEAR, evolve(NEAR, server_id="i-twin", address="10.0.0.4:80")
    for entry in (near, twin):
        record_report(target_of(loads, entry.server_id), running=3)
    for number in range(40):
        record_answer(target_of(loads, "i-twin"), failed=number % 2 == 0)
    assert chosen([near, twin], loads).keys() == {"i-near"}


def test_failures_that_all_servers_share_move_no_load():
    """Guards against leaving sound servers whose calls fail at a service behind them."""
    loads = LoadTable("buc-a")
    for entry in (NEAR, FAR):
        for _ in range(40):
            record_answer(target_of(loads, entry.server_id), failed=True)
    assert chosen([NEAR, FAR], loads).keys() == {"i-near"}


def test_server_that_turned_slow_is_left_to_far_ones_and_tried_again_later():
    """Guards against a near server that takes ten times as long and still gets its share."""
    loads = LoadTable("buc-a")
    for entry in (NEAR, FAR):
        for _ in range(30):
            record_time(loads, target_of(loads, entry.server_id), "r-1", 20, 0)
    for _ in range(20):
        record_time(loads, target_of(loads, "i-near"), "r-1", 200, 1_000)
    assert chosen([NEAR, FAR], loads, now_ms=1_000).keys() == {"i-far"}
    assert chosen([NEAR, FAR], loads, now_ms=9_000).keys() == {"i-near"}


def test_servers_of_different_speed_share_the_load():
    """Guards against sending everything to the fastest server."""
    loads = LoadTable("buc-a")
    near, twin = NEAR, evolve(NEAR, server_id="i-twin", address="10.0.0.4:80")
    for _ in range(50):
        record_time(loads, target_of(loads, "i-near"), "r-1", 14, 0)
        record_time(loads, target_of(loads, "i-twin"), "r-1", 30, 0)
    record_report(target_of(loads, "i-near"), running=4)
    assert "i-twin" in chosen([near, twin], loads)


def test_lost_calls_in_a_row_eject_a_server_for_a_while():
    loads = LoadTable("buc-a")
    target = target_of(loads, "i-near")
    assert [record_loss(target, 0) for _ in range(4)] == [False, False, False, True]
    assert "i-near" not in chosen([NEAR, FAR], loads, now_ms=1_000)


def test_servers_that_are_gone_are_forgotten():
    """Guards against a table that grows with each restart in the fleet."""
    loads = LoadTable("buc-a")
    for number in range(50):
        target_of(loads, f"i-{number}")
    keep_targets(loads, {"i-7"})
    assert loads.targets.keys() == {"i-7"}


def test_cold_server_gets_half_of_its_share():
    cold = evolve(NEAR, warm_ms=3_000)
    loads = LoadTable("buc-a")
    assert load_of(loads, cold, 0) == 2 * load_of(loads, cold, 3_000)


def fail_all(servers: int, calls: int, failing: float) -> tuple[BackendDirectory, LoadTable]:
    """Return what a node knows after calls to random servers of which a share fails."""
    directory, loads, random = BackendDirectory(), LoadTable("buc-a"), Random(4)
    entries = [
        evolve(NEAR, server_id=f"i-{number}", address=f"10.0.1.{number}:80")
        for number in range(servers)
    ]
    replace_entries(directory, entries)
    for _ in range(calls):
        failed = random.random() < failing
        record_answer(target_of(loads, random.choice(entries).server_id), failed)
        record_route_outcome(loads, "browse", failed)
    return directory, loads


def test_failures_that_all_of_many_servers_share_are_not_retried():
    """Guards against repeats of requests that fail in a service below, each with all its calls.

    A node of a large fleet asks each of 30 servers so seldom that some have never failed.
    """
    directory, loads = fail_all(servers=30, calls=80, failing=0.6)
    assert failure_is_common(directory, loads, "calendar", "browse")
    assert not failure_is_common(directory, loads, "calendar", "another route")


def test_failures_of_a_few_of_many_servers_are_retried():
    directory, loads = fail_all(servers=30, calls=80, failing=0.1)
    assert not failure_is_common(directory, loads, "calendar", "browse")
