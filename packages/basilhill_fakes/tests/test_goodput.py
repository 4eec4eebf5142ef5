"""Tests of the figures that measurements calculate from a history."""

from attrs import evolve
from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.fleets import (
    count_failed_after_start,
    count_without_response,
    find_crashes,
)
from basilhill_fakes.queries.goodput import (
    bottleneck_rate_per_s,
    completions_ms,
    mixed_rate_per_s,
    recovery_ms,
    wasted_ratio,
)
from basilhill_fakes.queries.sections import activation_ms, edit_section
from basilhill_fakes.sections import Change
from basilhill_fakes.workloads import DEGUSTARI, WEBSHOP


def run_ended(order, round_=0, status=200, duration_ms=100.0, call="reservations.book"):
    kind, place = EventKind.RUN_ENDED, "server"
    fields = {"round": round_, "status": status, "duration_ms": duration_ms}
    return Event(50, kind, place, call, order, False, **fields)


def response_received(order, round_=0, time_ms=60):
    fields = {"status": 200, "verdict": "answered", "body_order": order, "body_round": round_}
    kind, call = EventKind.ANSWER_RECEIVED, "reservations.book"
    return Event(time_ms, kind, "caller", call, order, False, round=round_, **fields)


def run_started(order, place="server", call="reservations.book"):
    return Event(10, EventKind.RUN_STARTED, place, call, order, False)


def test_bottleneck_rate_counts_slots_occupied_during_internal_calls():
    assert round(bottleneck_rate_per_s(DEGUSTARI), 2) == round(30 / 0.410, 2)
    assert round(bottleneck_rate_per_s(DEGUSTARI, 3), 2) == round(30 / 1.210, 2)
    assert bottleneck_rate_per_s(WEBSHOP) == 75 / 0.5


def test_mixed_rate_reserves_slots_for_browsing_that_reaches_the_bottleneck():
    assert round(mixed_rate_per_s(DEGUSTARI), 2) == round(30 / 0.420, 2)
    assert mixed_rate_per_s(WEBSHOP) == 75 / 0.5


def test_order_with_two_responses_completes_once():
    assert completions_ms(
        [response_received("o1", time_ms=1), response_received("o1", time_ms=2)]
    ) == [1]


def test_recovery_starts_with_the_first_window_of_lasting_goodput():
    steady = [10.0 * n for n in range(300, 1000)]
    assert recovery_ms(steady, 100, 0, 10_000) == 3000


def test_late_dip_delays_recovery_and_no_goodput_is_no_recovery():
    dip = [10.0 * n for n in range(1000) if not 500 <= n < 520]
    assert recovery_ms(dip, 100, 0, 10_000) == 5200
    assert recovery_ms([], 100, 0, 10_000) is None


def test_runs_of_failed_requests_and_repeated_runs_are_wasted():
    events = [
        run_ended("o1"),
        response_received("o1"),
        run_ended("o2", status=503),
        run_ended("o1"),
        run_ended("o3"),
    ]
    assert wasted_ratio(events, 0, 100) == 0.75


def test_run_under_a_failed_token_is_wasted_although_a_later_token_succeeded():
    events = [run_ended("o1", 0, 503), run_ended("o1", 1), response_received("o1", 1)]
    assert wasted_ratio(events, 0, 100) == 0.5


def test_started_requests_without_a_response_or_with_a_failure_are_counted():
    failure = evolve(response_received("o3"), status=503, body_order="")
    events = [
        run_started("o1"),
        response_received("o1"),
        run_started("o2"),
        run_started("o3"),
        failure,
    ]
    assert count_without_response(events, 0, 100) == 1
    assert count_failed_after_start(events, 0, 100) == 1


def test_run_of_the_crashing_order_that_never_ended_is_a_crash():
    events = [run_started("c", "a"), run_started("c", "b"), run_started("o", "d"), run_ended("c")]
    assert find_crashes([*events, run_started("c", "server")], "c") == ["a", "b"]


def test_change_is_active_when_the_last_node_has_it():
    notes = (("a", 3, 130.0), ("b", 2, 110.0), ("b", 4, 190.0))
    seen = [
        Event(time_ms, EventKind.SECTIONS, place, note=f'{{"bookings": {revision}}}')
        for place, revision, time_ms in notes
    ]
    change = Change("bookings", 3, 100.0, True)
    assert activation_ms(seen, change, 2) == 90
    assert activation_ms(seen, change, 3) is None


def test_changed_section_is_invalid_only_on_request():
    text = '[team.bookings]\ncontact = "a"\n'
    invalid = edit_section(text, "bookings", "1", False)
    assert "slotz" in invalid
    assert "slotz" not in edit_section(invalid, "bookings", "2", True)
