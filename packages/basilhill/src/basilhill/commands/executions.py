"""Change execution records."""

from expression import Error, Ok, Result

from basilhill.executions import ExecutionRecord, ExecutionState, ExecutionTable
from basilhill.queries.executions import find_execution, has_room
from basilhill.verdicts import Outcome, Reason, Refusal, Verdict, may_have_run, verdict_of

STATE_OF_VERDICT = {
    Verdict.ANSWERED: ExecutionState.ANSWERED,
    Verdict.NOT_RUN: ExecutionState.REJECTED,
    Verdict.MAY_HAVE_RUN: ExecutionState.UNCERTAIN,
}


def start_execution(table: ExecutionTable, key: str, now_ms: int) -> Result[None, Refusal]:
    """Record that a key runs; refuse it when the table is full or the key is recorded already."""
    expire_executions(table, now_ms)
    if find_execution(table, key, now_ms) is not None:
        return Error(may_have_run(Reason.REJECTED, "this call is already recorded"))
    if not has_room(table):
        # Without a record a later copy could still run, so "not run" would not stay true.
        return Error(may_have_run(Reason.TABLE_FULL, "the node keeps too many answers"))
    expires_ms = now_ms + table.lifetime_ms
    table.records[key] = ExecutionRecord(key, ExecutionState.RUNNING, expires_ms)
    return Ok(None)


def settle_execution(table: ExecutionTable, key: str, outcome: Outcome) -> None:
    """Store the final outcome of a key that was started."""
    record = table.records.get(key)
    if record is None:
        return
    record.state = STATE_OF_VERDICT[verdict_of(outcome)]
    record.outcome = outcome
    table.answer_bytes += stored_bytes(outcome)


def expire_executions(table: ExecutionTable, now_ms: int) -> None:
    """Drop records whose lifetime has passed; running ones stay."""
    while table.records:
        key, record = next(iter(table.records.items()))
        if record.expires_ms > now_ms or record.state is ExecutionState.RUNNING:
            return
        del table.records[key]
        if record.outcome is not None:
            table.answer_bytes -= stored_bytes(record.outcome)


def stored_bytes(outcome: Outcome) -> int:
    """Return the body size that an outcome occupies."""
    return len(outcome.ok.body) if outcome.is_ok() else 0


def forget_execution(table: ExecutionTable, key: str) -> None:
    """Drop a running key that did not run, so that the executor may get it again."""
    record = table.records.get(key)
    if record is not None and record.state is ExecutionState.RUNNING:
        del table.records[key]


def reject_execution(table: ExecutionTable, key: str, refusal: Refusal, now_ms: int) -> None:
    """Record that a key that never started must not run any more."""
    if find_execution(table, key, now_ms) is None:
        expires_ms = now_ms + table.lifetime_ms
        table.records[key] = ExecutionRecord(
            key, ExecutionState.REJECTED, expires_ms, Error(refusal)
        )
