"""Tests of execution records."""

from basilhill.commands.executions import (
    begin_run,
    complete_execution,
    discard_execution,
    reject_execution,
    start_execution,
)
from basilhill.executions import ExecutionState, ExecutionTable
from basilhill.outcomes import Answer, ExecutionStatus, Reason, may_have_run, not_run
from basilhill.queries.executions import find_execution
from expression import Error, Ok


def new_table(capacity: int = 10) -> ExecutionTable:
    return ExecutionTable(capacity, answer_bytes_limit=1000, lifetime_ms=100)


def test_second_start_of_a_key_is_refused():
    """Guard against duplicate execution of a key."""
    table = new_table()
    assert start_execution(table, "key", 0).is_ok()
    assert start_execution(table, "key", 1).error.execution_status is ExecutionStatus.MAY_HAVE_RUN


def test_full_table_refuses_a_start_as_may_have_run():
    """Guard against "not run" for an unrecorded key, whose next attempt could still run."""
    table = new_table(capacity=1)
    start_execution(table, "first", 0)
    assert (
        start_execution(table, "second", 0).error.execution_status is ExecutionStatus.MAY_HAVE_RUN
    )


def test_rejected_key_cannot_start():
    table = new_table()
    reject_execution(table, "key", not_run(Reason.REJECTED, ""), 0)
    assert start_execution(table, "key", 1).is_error()


def test_response_is_retained_for_the_lifetime_and_then_removed():
    table = new_table()
    start_execution(table, "key", 0)
    complete_execution(table, "key", Ok(Answer(200, (), b"body")))
    assert find_execution(table, "key", 99).state is ExecutionState.ANSWERED
    start_execution(table, "other", 101)
    assert table.answer_bytes == 0


def test_refusal_as_not_run_rejects_later_attempts_of_the_key():
    table = new_table()
    start_execution(table, "key", 0)
    complete_execution(table, "key", Error(not_run(Reason.OVERLOADED, "")))
    assert find_execution(table, "key", 1).state is ExecutionState.REJECTED


def test_rejected_waiting_key_cannot_begin_its_run():
    table = new_table()
    start_execution(table, "key", 0, state=ExecutionState.WAITING)
    assert reject_execution(table, "key", not_run(Reason.CANCELLED, ""), 1).is_ok()
    assert not begin_run(table, "key")
    discard_execution(table, "key")
    assert start_execution(table, "key", 2).error.execution_status is ExecutionStatus.NOT_RUN


def test_rejection_of_a_running_key_reports_may_have_run():
    """Guard against a report of "not run" for a call that runs."""
    table = new_table()
    start_execution(table, "key", 0, state=ExecutionState.WAITING)
    assert begin_run(table, "key")
    refused = reject_execution(table, "key", not_run(Reason.CANCELLED, ""), 1)
    assert refused.error.execution_status is ExecutionStatus.MAY_HAVE_RUN


def test_full_table_refuses_a_rejection_that_it_cannot_record():
    table = new_table(capacity=1)
    start_execution(table, "first", 0)
    refused = reject_execution(table, "second", not_run(Reason.CANCELLED, ""), 1)
    assert refused.error.execution_status is ExecutionStatus.MAY_HAVE_RUN


def test_long_running_record_does_not_prevent_others_from_expiring():
    table = new_table()
    start_execution(table, "long", 0)
    start_execution(table, "short", 1)
    complete_execution(table, "short", Ok(Answer(200, (), b"body")))
    start_execution(table, "other", 150)
    assert set(table.records) == {"long", "other"}
    assert table.answer_bytes == 0
    assert find_execution(table, "long", 150).state is ExecutionState.RUNNING


def test_oldest_responses_become_uncertain_above_the_size_limit():
    """Guard against retained responses that grow beyond the size limit."""
    table = new_table()
    for key in ("first", "second", "third"):
        start_execution(table, key, 0)
        complete_execution(table, key, Ok(Answer(200, (), b"x" * 400)))
    assert table.answer_bytes == 800
    assert find_execution(table, "first", 1).state is ExecutionState.UNCERTAIN
    assert (
        find_execution(table, "first", 1).outcome.error.execution_status
        is ExecutionStatus.MAY_HAVE_RUN
    )


def test_definite_outcome_replaces_an_uncertain_one_but_not_the_reverse():
    table = new_table()
    start_execution(table, "key", 0)
    complete_execution(table, "key", Error(may_have_run(Reason.CONNECTION_LOST, "")))
    complete_execution(table, "key", Ok(Answer(200)))
    complete_execution(table, "key", Error(may_have_run(Reason.CONNECTION_LOST, "")))
    assert find_execution(table, "key", 1).state is ExecutionState.ANSWERED
