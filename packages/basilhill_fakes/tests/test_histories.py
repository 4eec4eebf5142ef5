"""Tests that each check of a history finds a violated invariant and accepts a valid history."""

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.fleets import (
    find_version_regressions,
    late_work,
    late_work_ms,
    peak_runs_in_flight,
)
from basilhill_fakes.queries.histories import (
    double_runs,
    excess_retries,
    false_refusals,
    refused_but_run,
    unresolved_requests,
    work_after_failures,
    wrong_answers,
)
from basilhill_fakes.queries.refusals import class_inversions
from basilhill_fakes.workloads import DEGUSTARI

BOOK = "reservations.book"
BROWSE = "calendar.slots"


def run_started(time_ms, call=BOOK, order="o1", round_=0, place="server", idempotent=False):
    kind = EventKind.RUN_STARTED
    return Event(time_ms, kind, place, call, order, idempotent, round=round_)


def response_received(time_ms, call=BOOK, order="o1", round_=0, **fields):
    kind, idempotent = EventKind.ANSWER_RECEIVED, call == BROWSE
    return Event(time_ms, kind, "caller", call, order, idempotent, round=round_, **fields)


def refusal(time_ms, reason="overloaded", **fields):
    return response_received(time_ms, status=503, verdict="not-run", reason=reason, **fields)


def success(time_ms, order="o1", round_=0, body_order=None, body_round=None, **fields):
    return response_received(
        time_ms,
        order=order,
        round_=round_,
        status=200,
        verdict="answered",
        body_order=order if body_order is None else body_order,
        body_round=round_ if body_round is None else body_round,
        **fields,
    )


def test_second_run_under_one_token_is_a_double_run():
    assert len(double_runs([run_started(1), run_started(2, place="other")])) == 1


def test_runs_of_other_tokens_other_calls_and_idempotent_calls_are_no_double_runs():
    events = [
        run_started(1),
        run_started(2, round_=1),
        run_started(3, call="calendar.hold"),
        run_started(4, call=BROWSE, order="o2", idempotent=True),
        run_started(5, call=BROWSE, order="o2", idempotent=True),
    ]
    assert double_runs(events) == []


def test_run_under_a_refused_token_is_found_although_a_later_token_succeeded():
    events = [
        refusal(1),
        run_started(2, round_=0),
        run_started(3, round_=1),
        success(4, round_=1),
    ]
    assert [violation.check for violation in false_refusals(events)] == ["false-refusal"]


def test_run_before_the_refusal_of_a_repeated_attempt_is_found():
    assert len(false_refusals([run_started(1), refusal(2, attempt=1), success(3)])) == 1


def test_run_of_a_refused_order_is_found_in_any_round():
    assert len(refused_but_run([refusal(1), run_started(2, round_=1)])) == 1
    assert refused_but_run([refusal(1), run_started(2, order="o2"), success(3, order="o2")]) == []


def test_request_with_an_uncertain_last_response_is_unresolved():
    uncertain = response_received(2, status=502, verdict="may-have-run")
    assert len(unresolved_requests([success(1), uncertain])) == 1
    assert unresolved_requests([uncertain, success(3, attempt=1)]) == []


def failed_run(time_ms, place="server"):
    return Event(time_ms, EventKind.RUN_ENDED, place, BOOK, "o1", status=500)


def test_work_at_a_server_after_consecutive_failures_is_found():
    failures = [failed_run(n) for n in range(5)]
    assert len(work_after_failures([*failures, run_started(500)], 5, 300, 1600)) == 1


def test_work_soon_or_long_after_failures_or_at_another_server_is_allowed():
    failures = [failed_run(n) for n in range(5)]
    others = [run_started(100), run_started(500, place="other"), run_started(1700)]
    assert work_after_failures([*failures, *others], 5, 300, 1600) == []
    assert work_after_failures([*failures[1:], run_started(500)], 5, 300, 1600) == []


def test_run_under_a_new_token_after_a_refused_one_is_no_false_refusal():
    assert false_refusals([refusal(1), run_started(2, round_=1), success(3, round_=1)]) == []


def test_responses_of_other_requests_and_truncated_responses_are_wrong():
    events = [
        success(1, body_order="o2"),
        success(2, body_order=""),
        success(3, round_=1, body_round=0),
    ]
    assert len(wrong_answers(events)) == 3


def test_response_to_its_own_request_is_not_wrong():
    assert wrong_answers([success(1), success(2, round_=1), refusal(3)]) == []


def test_reported_retries_beyond_the_document_are_excess():
    assert len(excess_retries([success(1, retries=5)], {BOOK: 4})) == 1


def test_unreported_retries_at_backend_servers_are_excess():
    runs = [run_started(n, call="flavours.list", idempotent=True) for n in range(4)]
    assert len(excess_retries([*runs, success(9)], {BOOK: 2})) == 1


def test_retries_within_the_document_are_allowed_for_each_token():
    runs = [run_started(n, call="flavours.list", idempotent=True) for n in range(3)]
    later = [run_started(10 + n, call="flavours.list", round_=1) for n in range(3)]
    assert excess_retries([*runs, *later, success(20, retries=2)], {BOOK: 2}) == []


def test_transaction_refused_while_browsing_is_served_is_an_inversion():
    events = [success(1000 + n, call=BROWSE, order=f"b{n}") for n in range(3)]
    assert len(class_inversions([*events, refusal(1400)], DEGUSTARI)) == 1


def test_transaction_refused_while_browsing_is_also_refused_is_no_inversion():
    events = [
        refusal(1000, call=BROWSE, order="b1"),
        success(1001, call=BROWSE, order="b2"),
    ]
    other_reason = refusal(5000, reason="leaving")
    assert class_inversions([*events, refusal(1400), other_reason], DEGUSTARI) == []


def test_work_that_starts_more_than_3_s_after_leaving_began_is_found():
    leaving = Event(1000, EventKind.LEAVING, "server")
    assert len(late_work([leaving, run_started(4500)])) == 1
    assert late_work_ms([leaving, run_started(4500)]) == {"server": 3500}


def test_work_soon_after_leaving_or_at_another_server_is_allowed():
    leaving = Event(1000, EventKind.LEAVING, "server")
    assert late_work([leaving, run_started(2000), run_started(9000, place="other")]) == []
    returned = Event(5000, EventKind.RETURNED, "server")
    assert late_work([leaving, run_started(2000), returned, run_started(9000)]) == []


def test_runs_in_flight_are_counted_from_the_first_run_after_a_time():
    ended = Event(30, EventKind.RUN_ENDED, "server", BOOK, "o1")
    events = [
        run_started(1),
        run_started(20),
        run_started(25),
        ended,
        run_started(40),
        run_started(41),
        run_started(42),
    ]
    assert peak_runs_in_flight(events, "server", 10, 15) == 2
    assert peak_runs_in_flight(events, "server", 10, 100) == 4


def test_version_that_decreases_on_a_node_is_found():
    seen = [Event(n, EventKind.SECTIONS, "a", note=note) for n, note in enumerate(VERSIONS)]
    assert len(find_version_regressions(seen)) == 1


VERSIONS = ('{"calendar": 3}', '{"calendar": 4, "bookings": 2}', '{"calendar": 3, "bookings": 2}')


def test_versions_that_increase_or_differ_between_nodes_are_allowed():
    seen = [
        Event(1, EventKind.SECTIONS, "a", note='{"calendar": 4}'),
        Event(2, EventKind.SECTIONS, "b", note='{"calendar": 3}'),
        Event(3, EventKind.SECTIONS, "a", note="{}"),
        Event(4, EventKind.SECTIONS, "a", note='{"calendar": 4}'),
    ]
    assert find_version_regressions(seen) == []
