"""Run calls on the backend server beside the node."""

import asyncio
import secrets

from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest, ParentReference
from basilhill.commands.admission import (
    Admission,
    admit_call,
    end_call,
    leave_queue,
    start_queued,
)
from basilhill.commands.executions import (
    begin_run,
    forget_execution,
    settle_execution,
    start_execution,
)
from basilhill.documents import CallPolicy
from basilhill.executions import ExecutionState
from basilhill.queries.admission import next_queued
from basilhill.queries.budgets import used_retries
from basilhill.queries.documents import find_call
from basilhill.queries.routing import known_levels
from basilhill.verdicts import (
    CallReply,
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
    verdict_of,
)
from expression import Error, Ok, Result

from basilhill_node.commands.revoke_call import revoke_waiting
from basilhill_node.state import ExecutorRun, NodeState, ParentCall


async def execute_call(
    node: NodeState, context: CallContext, key: str | None, request: CallRequest
) -> CallReply:
    """Run a call under admission control, at most once per key."""
    policy = find_call(node.document, request.service, request.method, request.path)
    if policy is None or request.service != node.settings.service:
        return CallReply(Error(not_run(Reason.UNKNOWN_CALL, "this node does not serve the call")))
    if key is None and not policy.idempotent and not node.disabled("token-records"):
        # The sender still has a document in which the call is idempotent.
        return CallReply(Error(not_run(Reason.TOKEN_REQUIRED, "the call is not idempotent")))
    if key is None:
        return await run_admitted(node, context, policy, request)
    started = start_execution(node.executed, key, node.clock.now_ms(), state=ExecutionState.WAITING)
    if started.is_error():
        return CallReply(Error(started.error))
    run = node.executor_runs[key] = ExecutorRun()
    run.task = node.spawn(run_once(node, context, policy, request, key))
    try:
        return await asyncio.shield(run.task)
    except asyncio.CancelledError:
        # Nobody waits for the reply; what has started runs until its deadline.
        revoke_waiting(node, key, not_run(Reason.CANCELLED, "the call was cancelled"))
        raise


async def run_once(
    node: NodeState, context: CallContext, policy: CallPolicy, request: CallRequest, key: str
) -> CallReply:
    """Run the call of a key and keep its outcome; only a revocation cancels this task."""
    node.executor_runs[key].entered = True
    reply = CallReply(Error(may_have_run(Reason.CANCELLED, "the executor stopped")))
    try:
        with node.open_call():
            reply = await run_admitted(node, context, policy, request, key)
    except asyncio.CancelledError:
        record = node.executed.records.get(key)
        if record is None or record.state is not ExecutionState.REJECTED:
            raise
        reply = CallReply(record.outcome)
    finally:
        if verdict_of(reply.outcome) is Verdict.NOT_RUN:
            # The coordinator never grants this executor the key again, and a revocation of a key
            # without a record says "not run" too.
            forget_execution(node.executed, key)
        else:
            settle_execution(node.executed, key, reply.outcome, reply.retries_spent)
        del node.executor_runs[key]
    return reply


async def run_admitted(
    node: NodeState,
    context: CallContext,
    policy: CallPolicy,
    request: CallRequest,
    key: str | None = None,
) -> CallReply:
    """Wait for a slot, run the call and free the slot."""
    action_id = context.action_id
    entered = await enter(node, context)
    if entered.is_error():
        node.log.record("admit", action_id, f"refused {policy.full_name}", entered.error.text)
        return CallReply(Error(entered.error))
    node.log.record("admit", action_id, f"started {policy.full_name}")
    started_ms = node.clock.now_ms()
    completed = False
    try:
        reply = await run_parent(node, context, policy, request, key)
        completed = reply.outcome.is_ok()
        return reply
    finally:
        service_ms = node.clock.now_ms() - started_ms
        end_call(node.admission, service_ms if completed else None)
        start_waiting(node)


async def enter(node: NodeState, context: CallContext) -> Result[None, Refusal]:
    """Wait until a slot is free; refuse when that takes too long."""
    if node.leaving:
        return Error(not_run(Reason.LEAVING, "the server is leaving"))
    call_id = secrets.token_hex(8)
    now_ms = node.clock.now_ms()
    admitted = admit_call(node.admission, call_id, context, now_ms)
    if admitted.is_error():
        return Error(admitted.error)
    if admitted.ok is Admission.START:
        return Ok(None)
    waiter = asyncio.get_running_loop().create_future()
    node.slot_waiters[call_id] = waiter
    wait_ms = min(context.deadline_ms - now_ms, node.settings.queue_ms)
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await waiter
        return Ok(None)
    except (TimeoutError, asyncio.CancelledError) as error:
        if waiter.done() and not waiter.cancelled():
            # The slot was granted in the same turn of the event loop; give it back.
            end_call(node.admission, None)
            start_waiting(node)
        leave_queue(node.admission, call_id)
        if isinstance(error, TimeoutError):
            return Error(not_run(Reason.OVERLOADED, "no slot became free in time"))
        raise
    finally:
        del node.slot_waiters[call_id]


def start_waiting(node: NodeState) -> None:
    """Give free slots to waiting calls."""
    while (queued := next_queued(node.admission)) is not None:
        start_queued(node.admission, queued, node.clock.now_ms())
        waiter = node.slot_waiters[queued.call_id]
        if waiter.done():
            end_call(node.admission, None)
        else:
            waiter.set_result(None)


async def run_parent(
    node: NodeState,
    context: CallContext,
    policy: CallPolicy,
    request: CallRequest,
    key: str | None,
) -> CallReply:
    """Run the call on the backend server as the parent of its internal calls."""
    if context.deadline_ms <= node.clock.now_ms() and not node.disabled("deadline-check"):
        return CallReply(Error(not_run(Reason.DEADLINE, "the deadline passed before the start")))
    if key is not None and not begin_run(node.executed, key):
        return CallReply(Error(not_run(Reason.REJECTED, "the call was revoked")))
    # The start time lets this node tell a call whose records have expired from one that never ran.
    parent_call = f"{node.clock.now_ms():x}-{secrets.token_hex(16)}"
    parent = ParentCall(context, policy, RetryBudget(context.retry_allotment))
    node.parents[parent_call] = parent
    reference = ParentReference(node.settings.node, node.incarnation, parent_call)
    timeout_ms = min(context.deadline_ms - node.clock.now_ms(), policy.timeout_ms)
    try:
        outcome = await node.backend.call(request, reference, timeout_ms)
    finally:
        del node.parents[parent_call]
        for task in parent.internal:
            task.cancel()
    levels = known_levels(
        node.routing,
        node.document,
        policy,
        node.clock.now_ms(),
        node.settings.level_lifetime_ms,
    )
    return CallReply(outcome, used_retries(parent.budget), levels)
