"""Revoke the permission to run a non-idempotent call, or learn the outcome of the call."""

import asyncio

from basilhill.calls import CallContext
from basilhill.commands.executions import complete_execution, reject_execution
from basilhill.executions import ExecutionState
from basilhill.outcomes import (
    CallReply,
    ExecutionStatus,
    Reason,
    Refusal,
    execution_status_of,
    may_have_run,
    not_run,
)
from basilhill.queries.executions import find_execution
from expression import Error

from basilhill_node.state import CoordinatedRun, NodeState

RESOLVE_TIMEOUT_MS = 1_000
RESOLVE_PAUSE_MIN_MS = 250
RESOLVE_PAUSE_MAX_MS = 4_000


async def revoke_at_executor(
    node: NodeState, run: CoordinatedRun, key: str, context: CallContext
) -> CallReply:
    """Revoke a key at its executor, repeating until the deadline; return the call's outcome."""
    while (remaining_ms := context.deadline_ms - node.clock.now_ms()) > 0:
        reply = await send_revocation(node, run, key, remaining_ms)
        if reply is not None:
            node.log.record("coordinate", context.action_id, f"revoked at {run.executor}")
            return reply
        await asyncio.sleep(min(node.settings.reconnect_ms, remaining_ms) / 1000)
    refusal = may_have_run(Reason.CONNECTION_LOST, f"no reply from {run.executor}")
    return CallReply(Error(refusal), run.allotted_retries)


async def send_revocation(
    node: NodeState, run: CoordinatedRun, key: str, timeout_ms: int
) -> CallReply | None:
    """Send one revocation; return None if no reply arrived."""
    channel = node.peers.channel(run.executor)
    age_ms = node.clock.now_ms() - run.granted_ms
    result = await channel.revoke(key, run.incarnation, age_ms, timeout_ms)
    if result.is_ok():
        return result.ok
    if result.error.refused or result.error.incarnation not in ("", run.incarnation):
        refusal = may_have_run(Reason.CONNECTION_LOST, f"{run.executor} ended or restarted")
        return CallReply(Error(refusal), run.allotted_retries)
    return None


async def resolve_uncertain(node: NodeState, run: CoordinatedRun, key: str) -> None:
    """Request the outcome from the executor after the deadline, for later attempts of the call."""
    pause_ms = RESOLVE_PAUSE_MIN_MS
    while node.clock.now_ms() - run.granted_ms < node.settings.executor_lifetime_ms // 2:
        reply = await send_revocation(node, run, key, RESOLVE_TIMEOUT_MS)
        record = node.coordinated.records.get(key)
        if reply is not None and record is not None:
            complete_execution(node.coordinated, key, reply.outcome, record.retries_spent)
            node.log.record(
                "coordinate", "", f"resolved {key}", execution_status_of(reply.outcome).value
            )
            return
        await asyncio.sleep(pause_ms / 1000)
        pause_ms = min(2 * pause_ms, RESOLVE_PAUSE_MAX_MS)


def withdraw_run(node: NodeState, key: str, run: CoordinatedRun) -> None:
    """Revoke a run that no attempt awaits, unless it has started, and stop its retries."""
    run.withdrawn = True
    if run.executor == node.settings.node:
        revoke_queued(node, key, not_run(Reason.CANCELLED, "no copy of the call waits any more"))
    elif run.executor:
        node.spawn(revoke_remote(node, key, run))


async def revoke_remote(node: NodeState, key: str, run: CoordinatedRun) -> None:
    """Send one revocation to the executor; its reply to the Execute frame completes the run."""
    channel = node.peers.channel(run.executor)
    age_ms = node.clock.now_ms() - run.granted_ms
    await channel.revoke(key, "", age_ms, RESOLVE_TIMEOUT_MS)


def revoke_queued(node: NodeState, key: str, refusal: Refusal) -> bool:
    """Reject a key that is queued here for a slot; return whether it was queued."""
    record = node.executed.records.get(key)
    if record is None or record.state is not ExecutionState.WAITING:
        return False
    reject_execution(node.executed, key, refusal, node.clock.now_ms())
    run = node.executor_runs.get(key)
    if run is not None and run.task_started:
        run.task.cancel()
    return True


async def revoke_call(node: NodeState, key: str, age_ms: int) -> CallReply:
    """Reject a key whose call has not started here, else wait for its outcome."""
    now_ms = node.clock.now_ms()
    refusal = not_run(Reason.REJECTED, "the call had not started on its executor")
    if revoke_queued(node, key, refusal):
        return CallReply(Error(refusal))
    record = find_execution(node.executed, key, now_ms)
    if record is None:
        return CallReply(Error(store_tombstone(node, key, age_ms, refusal)))
    if record.outcome is not None:
        return CallReply(record.outcome, record.retries_spent)
    return await asyncio.shield(node.executor_runs[key].task)


def store_tombstone(node: NodeState, key: str, age_ms: int, refusal: Refusal) -> Refusal:
    """Store a tombstone for a key without a record; return the refusal to send.

    The refusal is "may have run" if a record of the call could have expired.
    """
    if age_ms >= node.settings.executor_lifetime_ms // 2:
        # A record of the call may already have expired.
        return may_have_run(Reason.CONNECTION_LOST, "the executor keeps no record any more")
    if node.is_disabled("tombstones"):
        return refusal
    rejected = reject_execution(node.executed, key, refusal, node.clock.now_ms())
    return refusal if rejected.is_ok() else rejected.error


def is_uncertain(reply: CallReply) -> bool:
    """Return whether the reply leaves open whether the call has run."""
    return execution_status_of(reply.outcome) is ExecutionStatus.MAY_HAVE_RUN
