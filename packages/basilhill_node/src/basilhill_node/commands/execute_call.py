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
from basilhill.commands.executions import forget_execution, settle_execution, start_execution
from basilhill.documents import CallPolicy
from basilhill.queries.admission import next_queued
from basilhill.queries.documents import find_call
from basilhill.queries.routing import known_levels
from basilhill.verdicts import (
    CallReply,
    Outcome,
    Reason,
    Refusal,
    Verdict,
    may_have_run,
    not_run,
    verdict_of,
)
from expression import Error, Ok, Result

from basilhill_node.state import NodeState, ParentCall


async def execute_call(
    node: NodeState, context: CallContext, key: str | None, request: CallRequest
) -> CallReply:
    """Run a call under admission control, at most once per key."""
    policy = find_call(node.document, request.service, request.method, request.path)
    if policy is None or request.service != node.settings.service:
        return CallReply(Error(not_run(Reason.UNKNOWN_CALL, "this node does not serve the call")))
    if key is None:
        return await run_admitted(node, context, policy, request)
    started = start_execution(node.executed, key, node.clock.now_ms())
    if started.is_error():
        return CallReply(Error(started.error))
    settled: Outcome = Error(may_have_run(Reason.CANCELLED, "the call was cancelled"))
    try:
        reply = await run_admitted(node, context, policy, request)
        settled = reply.outcome
        return reply
    finally:
        if verdict_of(settled) is Verdict.NOT_RUN:
            forget_execution(node.executed, key)
        else:
            settle_execution(node.executed, key, settled)


async def run_admitted(
    node: NodeState, context: CallContext, policy: CallPolicy, request: CallRequest
) -> CallReply:
    """Wait for a slot, run the call and free the slot."""
    action_id = context.action_id
    entered = await enter(node, context)
    if entered.is_error():
        node.log.record("admit", action_id, f"refused {policy.full_name}", entered.error.text)
        return CallReply(Error(entered.error))
    started_ms = node.clock.now_ms()
    if context.deadline_ms <= started_ms:
        end_call(node.admission, None)
        start_waiting(node)
        return CallReply(Error(not_run(Reason.DEADLINE, "the deadline passed before the start")))
    node.log.record("admit", action_id, f"started {policy.full_name}")
    completed = False
    try:
        reply = await run_parent(node, context, policy, request)
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
    node: NodeState, context: CallContext, policy: CallPolicy, request: CallRequest
) -> CallReply:
    """Run the call on the backend server as the parent of its internal calls."""
    parent_call = secrets.token_hex(16)
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
    return CallReply(outcome, parent.budget.spent + parent.budget.lent, levels)
