"""Serve calls from callers and from the backend server beside the node."""

import asyncio
import secrets
from hashlib import blake2b
from time import perf_counter_ns

from attrs import evolve, frozen
from basilhill.budgets import RetryBudget
from basilhill.calls import Arrival, CallContext, CallRequest
from basilhill.commands.budgets import lend_retries, repay_retries, take_permit
from basilhill.commands.tokens import advance_sequence
from basilhill.documents import CallPolicy
from basilhill.queries.budgets import lendable_retries
from basilhill.queries.documents import find_call
from basilhill.queries.executions import find_execution
from basilhill.queries.tokens import current_token
from basilhill.tokens import IdempotencyToken
from basilhill.verdicts import CallReply, Reason, Refusal, not_run
from expression import Error, Ok, Result

from basilhill_node.commands.coordinate_call import (
    coordinate_call,
    forward_copy,
    token_refusal,
)
from basilhill_node.commands.dispatch_call import OpenCall, dispatch_call
from basilhill_node.state import NodeState, ParentCall


@frozen
class ServedCall:
    """Hold what the front tells the caller."""

    reply: CallReply
    action_id: str
    token: IdempotencyToken


async def serve_call(node: NodeState, request: CallRequest, arrival: Arrival) -> ServedCall:
    """Serve one call to its end."""
    with node.open_call():
        return await serve_open(node, request, arrival)


async def serve_open(node: NodeState, request: CallRequest, arrival: Arrival) -> ServedCall:
    """Serve a call that the node counts as in flight."""
    policy = find_call(node.document, request.service, request.method, request.path)
    if policy is None:
        text = f"no call {request.method} {request.path} of service {request.service}"
        return served(node, CallReply(Error(not_run(Reason.UNKNOWN_CALL, text))))
    if arrival.parent is not None:
        return await serve_internal(node, policy, request, arrival)
    return await serve_action(node, policy, request, arrival)


def served(node: NodeState, reply: CallReply, action_id: str = "") -> ServedCall:
    """Return a reply with a fresh token for the caller's next call."""
    advance_sequence(node.issuer)
    return ServedCall(reply, action_id, current_token(node.issuer, node.clock.now_ms()))


async def serve_action(
    node: NodeState, policy: CallPolicy, request: CallRequest, arrival: Arrival
) -> ServedCall:
    """Serve the first call of a customer action."""
    opened = open_action(node, policy, request, arrival)
    if opened.is_error():
        return served(node, CallReply(Error(opened.error)))
    call = opened.ok
    started_ns = perf_counter_ns()
    if policy.idempotent:
        reply = await dispatch_call(node, call)
    else:
        reply = await serve_token(node, call, arrival)
    reply = evolve(reply, retries_spent=call.budget.spent or reply.retries_spent)
    duration_us = (perf_counter_ns() - started_ns) // 1000
    node.metrics.record_action(call.context.action, reply, duration_us)
    return served(node, reply, call.context.action_id)


def open_action(
    node: NodeState, policy: CallPolicy, request: CallRequest, arrival: Arrival
) -> Result[OpenCall, Refusal]:
    """Return the first call of an action, or why the caller may not make it."""
    action = node.document.actions_by_entry.get(policy.full_name)
    if action is None:
        text = f"{policy.full_name} is not the entry of a customer action"
        return Error(not_run(Reason.UNKNOWN_CALL, text))
    if not policy.idempotent and arrival.token is None:
        text = "a non-idempotent call needs the token of this refusal"
        return Error(not_run(Reason.TOKEN_REQUIRED, text))
    repeats = policy.idempotent and arrival.attempt > 0
    if repeats and not take_permit(node.customers, arrival.customer, node.clock.now_ms()):
        return Error(not_run(Reason.CUSTOMER_LIMIT, "too many repeats", 1000))
    timeout_ms = min(arrival.timeout_ms or action.timeout_ms, action.timeout_ms)
    context = CallContext(
        action_id_of(arrival),
        action.name,
        action.priority_class,
        node.clock.now_ms() + timeout_ms,
        arrival.customer,
        retry_allotment=action.retries,
    )
    key = None if policy.idempotent else arrival.token.key
    return Ok(OpenCall(context, policy, request, RetryBudget(action.retries), key))


def action_id_of(arrival: Arrival) -> str:
    """Return the action id, the same for all copies of a token."""
    if arrival.token is None:
        return secrets.token_hex(8)
    return blake2b(arrival.token.key.encode(), digest_size=8).hexdigest()


async def serve_token(node: NodeState, call: OpenCall, arrival: Arrival) -> CallReply:
    """Serve a copy of a non-idempotent call here or at the coordinator of its token."""
    if arrival.token.node != node.settings.node:
        return await forward_copy(node, arrival.token, arrival.attempt, call)
    refusal = token_refusal(node, arrival.token, arrival.attempt)
    if refusal is not None:
        return CallReply(Error(refusal))
    return await coordinate_call(node, call)


async def serve_internal(
    node: NodeState, policy: CallPolicy, request: CallRequest, arrival: Arrival
) -> ServedCall:
    """Serve a call that the backend server makes within a call that it runs."""
    reference = arrival.parent
    parent = node.parents.get(reference.parent_call)
    if parent is None or reference.incarnation != node.incarnation:
        text = "the parent call does not run on this server"
        return served(node, CallReply(Error(not_run(Reason.PARENT_GONE, text))))
    action_id = parent.context.action_id
    if not policy.idempotent and arrival.call_number is None:
        text = "a non-idempotent internal call needs a call number"
        return served(node, CallReply(Error(not_run(Reason.TOKEN_REQUIRED, text))), action_id)
    reply = await run_internal(node, parent, internal_call(node, parent, policy, request, arrival))
    return served(node, reply, action_id)


def internal_call(
    node: NodeState,
    parent: ParentCall,
    policy: CallPolicy,
    request: CallRequest,
    arrival: Arrival,
) -> OpenCall:
    """Return an internal call with the parent's context, one level deeper."""
    loan = lendable_retries(parent.budget)
    timeout_ms = min(arrival.timeout_ms or policy.timeout_ms, policy.timeout_ms)
    deadline_ms = min(parent.context.deadline_ms, node.clock.now_ms() + timeout_ms)
    context = evolve(
        parent.context,
        deadline_ms=deadline_ms,
        depth=parent.context.depth + 1,
        retry_allotment=loan,
    )
    key = None
    if not policy.idempotent:
        key = f"{arrival.parent.node}/{arrival.parent.parent_call}/{arrival.call_number}"
    return OpenCall(context, policy, request, RetryBudget(loan), key)


async def run_internal(node: NodeState, parent: ParentCall, call: OpenCall) -> CallReply:
    """Run an internal call on a loan from its parent's budget."""
    joins = call.key is not None and find_execution(node.coordinated, call.key, node.clock.now_ms())
    loan = 0 if joins else call.budget.allotment
    lend_retries(parent.budget, loan)
    run = dispatch_call(node, call) if call.key is None else coordinate_call(node, call)
    task = node.spawn(run)
    parent.internal.add(task)
    try:
        return await task
    except asyncio.CancelledError:
        task.cancel()
        raise
    finally:
        parent.internal.discard(task)
        repay_retries(parent.budget, loan, call.budget.spent)
