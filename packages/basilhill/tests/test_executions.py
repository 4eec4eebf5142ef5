"""Tests of execution records."""

from basilhill.commands.executions import (
    reject_execution,
    settle_execution,
    start_execution,
)
from basilhill.executions import ExecutionState, ExecutionTable
from basilhill.queries.executions import find_execution
from basilhill.verdicts import Answer, Reason, Verdict, not_run
from expression import Error, Ok


def new_table(capacity: int = 10) -> ExecutionTable:
    return ExecutionTable(capacity, answer_bytes_limit=1000, lifetime_ms=100)


def test_second_start_is_refused_so_that_no_key_runs_twice():
    table = new_table()
    assert start_execution(table, "key", 0).is_ok()
    assert start_execution(table, "key", 1).error.verdict is Verdict.MAY_HAVE_RUN


def test_full_table_never_claims_not_run_because_a_later_copy_could_run():
    table = new_table(capacity=1)
    start_execution(table, "first", 0)
    assert start_execution(table, "second", 0).error.verdict is Verdict.MAY_HAVE_RUN


def test_rejected_key_cannot_start():
    table = new_table()
    reject_execution(table, "key", not_run(Reason.REJECTED, ""), 0)
    assert start_execution(table, "key", 1).is_error()


def test_answer_is_kept_for_the_lifetime_and_then_dropped():
    table = new_table()
    start_execution(table, "key", 0)
    settle_execution(table, "key", Ok(Answer(200, (), b"body")))
    assert find_execution(table, "key", 99).state is ExecutionState.ANSWERED
    start_execution(table, "other", 101)
    assert table.answer_bytes == 0


def test_refusal_as_not_run_rejects_the_key_for_later_copies():
    table = new_table()
    start_execution(table, "key", 0)
    settle_execution(table, "key", Error(not_run(Reason.OVERLOADED, "")))
    assert find_execution(table, "key", 1).state is ExecutionState.REJECTED
