"""Run calls on the local backend server."""

import asyncio
import secrets

from attrs import evolve
from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest, ParentReference
from basilhill.commands.admission import (
    admit_call,
    drop_queued,
    free_slot,
    record_times,
    remove_queued,
    start_queued,
)
from basilhill.commands.executions import (
    begin_run,
    complete_execution,
    discard_execution,
    start_execution,
)
from basilhill.documents import CallPolicy
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
from basilhill.queries.admission import next_queued, wait_limit_ms
from basilhill.queries.budgets import used_retries
from basilhill.queries.documents import find_call
from expression import Error, Ok, Result

from basilhill_node.commands.filter_poison_requests import (
    check_poison_request,
    late_poison_refusal,
    record_crash_outcome,
)
from basilhill_node.commands.revoke_call import revoke_queued
from basilhill_node.commands.watch_backend import watch_after_failure
from basilhill_node.queries.loads import call_path_levels
from basilhill_node.state import ExecutorRun, NodeState, ParentCall


async def execute_call(
    node: NodeState, context: CallContext, key: str | None, request: CallRequest
) -> CallReply:
    """Run a call under admission control, at most once per key."""
    policy = find_call(node.document, request.service, request.method, request.path)
    if policy is None or request.service != node.settings.service:
        return CallReply(Error(not_run(Reason.UNKNOWN_CALL, "this node does not serve the call")))
    if key is None and not policy.idempotent and not node.is_disabled("token-records"):
        # The origin still uses an older document in which the call is idempotent.
        return CallReply(Error(not_run(Reason.TOKEN_REQUIRED, "the call is not idempotent")))
    if key is None:
        return await run_admitted(node, context, policy, request)
    started = start_execution(node.executed, key, node.clock.now_ms(), state=ExecutionState.WAITING)
    if started.is_error():
        return CallReply(Error(started.error))
    run = node.executor_runs[key] = ExecutorRun()
    run.task = node.spawn(run_keyed_call(node, context, policy, request, key))
    try:
        return await asyncio.shield(run.task)
    except asyncio.CancelledError:
        # The reply is no longer awaited. A call that has started runs until its deadline.
        revoke_queued(node, key, not_run(Reason.CANCELLED, "the call was cancelled"))
        raise


async def run_keyed_call(
    node: NodeState, context: CallContext, policy: CallPolicy, request: CallRequest, key: str
) -> CallReply:
    """Run the call of a key and record its outcome; only a revocation cancels this task."""
    node.executor_runs[key].task_started = True
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
        if execution_status_of(reply.outcome) is ExecutionStatus.NOT_RUN:
            # The coordinator does not grant the key to this executor again, and revoking a key that
            # has no record also returns "not run".
            discard_execution(node.executed, key)
        else:
            complete_execution(node.executed, key, reply.outcome, reply.retries_spent)
        del node.executor_runs[key]
    return reply


async def run_admitted(
    node: NodeState,
    context: CallContext,
    policy: CallPolicy,
    request: CallRequest,
    key: str | None = None,
) -> CallReply:
    """Run the call in a concurrency slot, or refuse it."""
    async with check_poison_request(node, request) as check:
        if check.refusal is not None:
            return refused_reply(node, context, policy, check.refusal)
        acquired = await acquire_slot(node, context, policy)
        if acquired.is_error():
            reply = refused_reply(node, context, policy, acquired.error)
            return evolve(reply, levels=call_path_levels(node, policy))
        refusal = late_poison_refusal(node, request, check)
        if refusal is not None:
            release_slot(node)
            return refused_reply(node, context, policy, refusal)
        node.log.record("admit", context.action_id, f"started {policy.full_name}")
        try:
            reply = await run_on_backend(node, context, policy, request, key)
        finally:
            release_slot(node)
        watch_after_failure(node, reply)
        await record_crash_outcome(node, request, reply)
        return reply


def refused_reply(
    node: NodeState, context: CallContext, policy: CallPolicy, refusal: Refusal
) -> CallReply:
    """Log the refusal of a call and return it as the reply."""
    node.log.record("admit", context.action_id, f"refused {policy.full_name}", refusal.text)
    return CallReply(Error(refusal))


async def acquire_slot(
    node: NodeState, context: CallContext, policy: CallPolicy
) -> Result[None, Refusal]:
    """Wait for a free slot; return a refusal if none becomes free in time."""
    if node.leaving:
        return Error(not_run(Reason.LEAVING, "the server is leaving"))
    if not node.admission.backend_available:
        return Error(not_run(Reason.UNREACHABLE, "the backend server is down"))
    call_id = secrets.token_hex(8)
    now_ms = node.clock.now_ms()
    admitted = admit_call(
        node.admission, call_id, policy.full_name, context, now_ms, policy.usual_ms
    )
    if admitted.is_error():
        return Error(admitted.error)
    if admitted.ok.dropped:
        refuse_evicted(node, admitted.ok.dropped)
    if admitted.ok.started:
        return Ok(None)
    wait_ms = min(context.deadline_ms - now_ms, wait_limit_ms(node.admission, context))
    return await wait_for_slot(node, call_id, wait_ms)


def refuse_evicted(node: NodeState, call_id: str) -> None:
    """Refuse a queued call that a call of higher rank displaced from the queue."""
    waiter = node.slot_waiters[call_id]
    if not waiter.done():
        text = "a call of higher rank took the place in the queue"
        waiter.set_result(not_run(Reason.OVERLOADED, text))


async def wait_for_slot(node: NodeState, call_id: str, wait_ms: int) -> Result[None, Refusal]:
    """Wait in the queue for a slot, at most `wait_ms`."""
    waiter = asyncio.get_running_loop().create_future()
    node.slot_waiters[call_id] = waiter
    try:
        async with asyncio.timeout(wait_ms / 1000):
            refusal = await waiter
        return Ok(None) if refusal is None else Error(refusal)
    except (TimeoutError, asyncio.CancelledError) as error:
        if waiter.done() and not waiter.cancelled() and waiter.result() is None:
            # The slot was granted in the same event loop iteration, so it must be released.
            release_slot(node)
        if isinstance(error, TimeoutError):
            drop_queued(node.admission, call_id, node.clock.now_ms())
            return Error(not_run(Reason.OVERLOADED, "no slot became free in time"))
        raise
    finally:
        remove_queued(node.admission, call_id)
        del node.slot_waiters[call_id]


def release_slot(node: NodeState) -> None:
    """Release a slot and grant free slots to queued calls."""
    free_slot(node.admission, node.clock.now_ms())
    while (queued := next_queued(node.admission)) is not None:
        start_queued(node.admission, queued, node.clock.now_ms())
        waiter = node.slot_waiters[queued.call_id]
        if waiter.done():
            free_slot(node.admission, node.clock.now_ms())
        else:
            waiter.set_result(None)


async def run_on_backend(
    node: NodeState,
    context: CallContext,
    policy: CallPolicy,
    request: CallRequest,
    key: str | None,
) -> CallReply:
    """Run the call on the backend server and register it as parent of its internal calls."""
    if context.deadline_ms <= node.clock.now_ms() and not node.is_disabled("deadline-check"):
        return CallReply(Error(not_run(Reason.DEADLINE, "the deadline passed before the start")))
    if key is not None and not begin_run(node.executed, key):
        return CallReply(Error(not_run(Reason.REJECTED, "the call was revoked")))
    # The start time in the id shows whether records of this parent's internal calls may have
    # expired.
    parent_call = f"{node.clock.now_ms():x}-{secrets.token_hex(16)}"
    parent = ParentCall(context, policy, request, RetryBudget(context.retry_allotment))
    node.parent_calls[parent_call] = parent
    reference = ParentReference(node.settings.node, node.incarnation, parent_call)
    started_ms = node.clock.now_ms()
    timeout_ms = min(context.deadline_ms - started_ms, policy.timeout_ms)
    try:
        outcome = await node.backend.call(request, reference, timeout_ms)
    finally:
        del node.parent_calls[parent_call]
        parent.ended.set()
        for task in parent.internal:
            task.cancel()
    if outcome.is_ok():
        now_ms = node.clock.now_ms()
        total_ms = now_ms - started_ms
        processing_ms = total_ms - parent.internal_ms
        record_times(node.admission, policy.full_name, total_ms, processing_ms, now_ms)
    return CallReply(outcome, used_retries(parent.budget), call_path_levels(node, policy))
