"""Update execution records."""

from expression import Error, Ok, Result

from basilhill.executions import OPEN_STATES, ExecutionRecord, ExecutionState, ExecutionTable
from basilhill.outcomes import (
    ExecutionStatus,
    Outcome,
    Reason,
    Refusal,
    execution_status_of,
    may_have_run,
)
from basilhill.queries.executions import find_execution, has_free_capacity, stored_bytes

STATE_BY_STATUS = {
    ExecutionStatus.ANSWERED: ExecutionState.ANSWERED,
    ExecutionStatus.NOT_RUN: ExecutionState.REJECTED,
    ExecutionStatus.MAY_HAVE_RUN: ExecutionState.UNCERTAIN,
}


def start_execution(
    table: ExecutionTable,
    key: str,
    now_ms: int,
    digest: bytes = b"",
    state: ExecutionState = ExecutionState.RUNNING,
) -> Result[None, Refusal]:
    """Record a key as waiting or running; refuse it if it is recorded or the table is full."""
    expire_executions(table, now_ms)
    record = find_execution(table, key, now_ms)
    if record is not None:
        if record.state is ExecutionState.REJECTED:
            return Error(record.outcome.error)
        return Error(may_have_run(Reason.REJECTED, "this call is already recorded"))
    if not has_free_capacity(table):
        # Without a record a repeated attempt could still run, so "not run" could become false.
        return Error(may_have_run(Reason.TABLE_FULL, "the node keeps too many records"))
    table.records[key] = ExecutionRecord(key, state, now_ms + table.lifetime_ms, digest)
    return Ok(None)


def begin_run(table: ExecutionTable, key: str) -> bool:
    """Change a waiting key to running; return whether it may run."""
    record = table.records.get(key)
    if record is None or record.state is not ExecutionState.WAITING:
        return False
    record.state = ExecutionState.RUNNING
    return True


def complete_execution(
    table: ExecutionTable, key: str, outcome: Outcome, retries_spent: int = 0
) -> None:
    """Store the outcome of an open key, or replace an uncertain outcome by a definite one."""
    record = table.records.get(key)
    if record is None or record.state not in (*OPEN_STATES, ExecutionState.UNCERTAIN):
        return
    record.state = STATE_BY_STATUS[execution_status_of(outcome)]
    record.outcome = outcome
    record.retries_spent = retries_spent
    if record.state is ExecutionState.ANSWERED:
        retain_answer(table, key, stored_bytes(outcome))


def retain_answer(table: ExecutionTable, key: str, size: int) -> None:
    """Add a response to the retained ones and drop the oldest above the size limit."""
    table.answers[key] = size
    table.answer_bytes += size
    while table.answer_bytes > table.answer_bytes_limit:
        oldest = next(iter(table.answers))
        table.answer_bytes -= table.answers.pop(oldest)
        record = table.records[oldest]
        record.state = ExecutionState.UNCERTAIN
        record.outcome = Error(may_have_run(Reason.TABLE_FULL, "ran; its answer is not kept"))


def expire_executions(table: ExecutionTable, now_ms: int) -> None:
    """Remove expired records; extend open ones by another lifetime."""
    while table.records:
        key, record = next(iter(table.records.items()))
        if record.expires_ms > now_ms:
            return
        del table.records[key]
        if record.state in OPEN_STATES:
            # The loop stops at the first record that has not expired, so an extended record moves
            # to the end.
            record.expires_ms = now_ms + table.lifetime_ms
            table.records[key] = record
        else:
            table.answer_bytes -= table.answers.pop(key, 0)


def discard_execution(table: ExecutionTable, key: str) -> None:
    """Remove an open key that did not run; keep a rejected key."""
    record = table.records.get(key)
    if record is not None and record.state in OPEN_STATES:
        del table.records[key]


def reject_execution(
    table: ExecutionTable, key: str, refusal: Refusal, now_ms: int
) -> Result[None, Refusal]:
    """Record that a key must not run, or return that it may have run already."""
    expire_executions(table, now_ms)
    record = find_execution(table, key, now_ms)
    if record is not None and record.state is ExecutionState.WAITING:
        record.state, record.outcome = ExecutionState.REJECTED, Error(refusal)
        return Ok(None)
    if record is not None:
        if record.state is ExecutionState.REJECTED:
            return Ok(None)
        return Error(may_have_run(refusal.reason, "another copy of the call may have run"))
    if not has_free_capacity(table):
        return Error(may_have_run(Reason.TABLE_FULL, "the node keeps too many records"))
    expires_ms = now_ms + table.lifetime_ms
    table.records[key] = ExecutionRecord(
        key, ExecutionState.REJECTED, expires_ms, outcome=Error(refusal)
    )
    return Ok(None)
