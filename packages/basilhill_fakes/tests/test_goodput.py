"""Figures of a measurement follow from the history as their definitions say."""

from attrs import evolve
from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.fleets import crashes_of, cut_off, failed_after_start
from basilhill_fakes.queries.goodput import (
    bottleneck_rate_per_s,
    completions_ms,
    mixed_rate_per_s,
    recovery_ms,
    wasted_ratio,
)
from basilhill_fakes.queries.sections import changed_text, in_force_ms
from basilhill_fakes.sections import Change
from basilhill_fakes.workloads import DEGUSTARI, WEBSHOP


def ended(order, round_=0, status=200, duration_ms=100.0, call="reservations.book"):
    kind, place = EventKind.RUN_ENDED, "server"
    marks = {"round": round_, "status": status, "duration_ms": duration_ms}
    return Event(50, kind, place, call, order, False, **marks)


def answered(order, round_=0, time_ms=60):
    marks = {"status": 200, "verdict": "answered", "body_order": order, "body_round": round_}
    kind, call = EventKind.ANSWER_RECEIVED, "reservations.book"
    return Event(time_ms, kind, "caller", call, order, False, round=round_, **marks)


def run_started(order, place="server", call="reservations.book"):
    return Event(10, EventKind.RUN_STARTED, place, call, order, False)


def test_the_bottleneck_rate_counts_slots_held_during_internal_calls():
    assert round(bottleneck_rate_per_s(DEGUSTARI), 2) == round(30 / 0.410, 2)
    assert round(bottleneck_rate_per_s(DEGUSTARI, 3), 2) == round(30 / 1.210, 2)
    assert bottleneck_rate_per_s(WEBSHOP) == 75 / 0.5


def test_the_mixed_rate_leaves_slots_to_browsing_that_reaches_the_bottleneck():
    assert round(mixed_rate_per_s(DEGUSTARI), 2) == round(30 / 0.420, 2)
    assert mixed_rate_per_s(WEBSHOP) == 75 / 0.5


def test_an_order_answered_twice_completes_once():
    assert completions_ms([answered("o1", time_ms=1), answered("o1", time_ms=2)]) == [1]


def test_recovery_starts_with_the_first_window_from_which_goodput_stays():
    steady = [10.0 * n for n in range(300, 1000)]
    assert recovery_ms(steady, 100, 0, 10_000) == 3000


def test_a_dip_near_the_end_delays_recovery_and_no_goodput_is_no_recovery():
    dip = [10.0 * n for n in range(1000) if not 500 <= n < 520]
    assert recovery_ms(dip, 100, 0, 10_000) == 5200
    assert recovery_ms([], 100, 0, 10_000) is None


def test_runs_of_failed_requests_and_repeated_runs_are_wasted():
    events = [ended("o1"), answered("o1"), ended("o2", status=503), ended("o1"), ended("o3")]
    assert wasted_ratio(events, 0, 100) == 0.75


def test_a_run_under_a_token_that_failed_is_wasted_although_a_later_token_succeeded():
    events = [ended("o1", 0, 503), ended("o1", 1), answered("o1", 1)]
    assert wasted_ratio(events, 0, 100) == 0.5


def test_a_request_that_ran_without_an_answer_was_cut_off():
    failure = evolve(answered("o3"), status=503, body_order="")
    events = [run_started("o1"), answered("o1"), run_started("o2"), run_started("o3"), failure]
    assert cut_off(events, 0, 100) == 1
    assert failed_after_start(events, 0, 100) == 1


def test_a_run_of_the_crashing_order_that_never_ended_is_a_crash():
    events = [run_started("c", "a"), run_started("c", "b"), run_started("o", "d"), ended("c")]
    assert crashes_of([*events, run_started("c", "server")], "c") == ["a", "b"]


def test_a_change_is_in_force_when_the_last_node_has_it():
    notes = (("a", 3, 130.0), ("b", 2, 110.0), ("b", 4, 190.0))
    seen = [
        Event(time_ms, EventKind.SECTIONS, place, note=f'{{"bookings": {revision}}}')
        for place, revision, time_ms in notes
    ]
    change = Change("bookings", 3, 100.0, True)
    assert in_force_ms(seen, change, 2) == 90
    assert in_force_ms(seen, change, 3) is None


def test_a_changed_section_is_wrong_only_while_it_shall_be():
    text = '[team.bookings]\ncontact = "a"\n'
    wrong = changed_text(text, "bookings", "1", False)
    assert "slotz" in wrong
    assert "slotz" not in changed_text(wrong, "bookings", "2", True)
