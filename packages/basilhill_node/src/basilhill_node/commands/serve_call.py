"""Serve calls from callers and from the local backend server."""

import asyncio
import secrets
from hashlib import blake2b
from time import perf_counter_ns

from attrs import evolve, frozen
from basilhill.budgets import RetryBudget
from basilhill.calls import (
    CallContext,
    CallMetadata,
    CallRequest,
    ParentReference,
    PriorityClass,
)
from basilhill.commands.budgets import return_permit
from basilhill.commands.tokens import advance_sequence
from basilhill.documents import CallPolicy
from basilhill.outcomes import CallReply, Reason, Refusal, may_have_run, not_run
from basilhill.queries.cohorts import assign_cohort
from basilhill.queries.documents import find_call
from basilhill.queries.tokens import current_token
from basilhill.tokens import IdempotencyToken
from expression import Error, Ok, Result

from basilhill_node.commands.coordinate_call import (
    coordinate_attempt,
    coordinate_call,
    customer_refusal,
    forward_attempt,
    refuse_attempt,
)
from basilhill_node.commands.detect_pauses import check_pause, resumed_recently, stalled_ms
from basilhill_node.commands.dispatch_call import (
    OutgoingCall,
    allocate_from_parent,
    dispatch_call,
    return_to_parent,
)
from basilhill_node.commands.leave_fleet import leaving_refusal
from basilhill_node.state import NodeState, ParentCall


@frozen
class ServedCall:
    """Reply, action id and next token that the client listener returns to the caller."""

    reply: CallReply
    action_id: str
    token: IdempotencyToken


async def serve_call(node: NodeState, request: CallRequest, metadata: CallMetadata) -> ServedCall:
    """Serve one call and count it as in flight until it ends."""
    check_pause(node)
    with node.open_call():
        return await serve_counted_call(node, request, metadata)


async def serve_counted_call(
    node: NodeState, request: CallRequest, metadata: CallMetadata
) -> ServedCall:
    """Serve a call that is already counted as in flight."""
    policy = find_call(node.document, request.service, request.method, request.path)
    if policy is None:
        text = f"no call {request.method} {request.path} of service {request.service}"
        return with_fresh_token(
            node, await refuse_request(node, metadata, not_run(Reason.UNKNOWN_CALL, text))
        )
    if metadata.parent is not None:
        return await serve_internal(node, policy, request, metadata)
    return await serve_action(node, policy, request, metadata)


async def refuse_request(node: NodeState, metadata: CallMetadata, refusal: Refusal) -> CallReply:
    """Refuse a call as not run, after the key of its token is rejected for all attempts."""
    if metadata.token is None or metadata.parent is not None:
        return CallReply(Error(refusal))
    return await refuse_attempt(node, metadata.token, metadata.attempt, refusal)


def with_fresh_token(node: NodeState, reply: CallReply, action_id: str = "") -> ServedCall:
    """Return a reply with a fresh token for the caller's next call."""
    advance_sequence(node.issuer)
    return ServedCall(reply, action_id, current_token(node.issuer, node.clock.now_ms()))


async def serve_action(
    node: NodeState, policy: CallPolicy, request: CallRequest, metadata: CallMetadata
) -> ServedCall:
    """Serve the first call of a customer action."""
    if resumed_recently(node) and metadata.attempt == 0:
        # The caller may have sent a later attempt elsewhere while this one waited for the node.
        metadata = evolve(metadata, attempt=1)
    opened = build_action_call(node, policy, request, metadata)
    if opened.is_error():
        refusal = opened.error
        if policy.idempotent:
            return with_fresh_token(node, CallReply(Error(refusal)))
        return with_fresh_token(node, await refuse_request(node, metadata, refusal))
    call = opened.ok
    refusal = leaving_refusal(node) if policy.idempotent else None
    if refusal is not None:
        return with_fresh_token(node, CallReply(Error(refusal)))
    started_ns = perf_counter_ns()
    if policy.idempotent:
        reply = await dispatch_call(node, call)
    else:
        reply = await serve_token(node, call, metadata)
    if reply.outcome.is_ok() and needs_permit(metadata) and metadata.attempt == 0:
        return_permit(node.customers, metadata.customer)
    duration_us = (perf_counter_ns() - started_ns) // 1000
    node.metrics.record_action(call.context.action, reply, duration_us)
    return with_fresh_token(node, reply, call.context.action_id)


def needs_permit(metadata: CallMetadata) -> bool:
    """Return whether a call consumes a permit of its customer.

    First attempts without a customer header consume none, because many customers may share one
    address.
    """
    return metadata.attempt > 0 or metadata.named_customer


def build_action_call(
    node: NodeState, policy: CallPolicy, request: CallRequest, metadata: CallMetadata
) -> Result[OutgoingCall, Refusal]:
    """Return the first call of a customer action, or the refusal of the call."""
    action = node.document.actions_by_entry.get(policy.full_name)
    if action is None:
        text = f"{policy.full_name} is not the entry of a customer action"
        return Error(not_run(Reason.UNKNOWN_CALL, text))
    if not policy.idempotent and metadata.token is None:
        text = "a non-idempotent call needs the token of this refusal"
        return Error(not_run(Reason.TOKEN_REQUIRED, text))
    # Repeated attempts of non-idempotent calls are left to the coordinator, which may have recorded
    # their outcome.
    decided_here = policy.idempotent or metadata.attempt == 0
    if decided_here and needs_permit(metadata):
        limit = customer_refusal(node, metadata.customer)
        if limit is not None:
            return Error(limit)
    timeout_ms = min(metadata.timeout_ms or action.timeout_ms, action.timeout_ms) - stalled_ms(node)
    action_id = derive_action_id(metadata)
    context = CallContext(
        action_id,
        action.name,
        PriorityClass.STANDARD if node.is_disabled("class-order") else action.priority_class,
        node.clock.now_ms() + timeout_ms,
        metadata.customer,
        retry_allotment=action.retries,
        cohort=assign_cohort(metadata, action_id, node.clock.wall_ms()),
    )
    key = None if policy.idempotent else metadata.token.key
    return Ok(OutgoingCall(context, policy, request, RetryBudget(action.retries), key))


def derive_action_id(metadata: CallMetadata) -> str:
    """Return the action id, which is the same for all attempts with one token."""
    if metadata.token is None:
        return secrets.token_hex(8)
    return blake2b(metadata.token.key.encode(), digest_size=8).hexdigest()


async def serve_token(node: NodeState, call: OutgoingCall, metadata: CallMetadata) -> CallReply:
    """Serve an attempt of a non-idempotent call here or at the coordinator of its token."""
    token, attempt = metadata.token, metadata.attempt
    if token.node != node.settings.node:
        return await forward_attempt(node, token, attempt, call)
    return await coordinate_attempt(node, token, attempt, call.context, call.request)


async def serve_internal(
    node: NodeState, policy: CallPolicy, request: CallRequest, metadata: CallMetadata
) -> ServedCall:
    """Serve an internal call, which the backend server makes while it runs a parent call."""
    reference = metadata.parent
    parent = node.parent_calls.get(reference.parent_call)
    if not policy.idempotent and metadata.call_number is None:
        text = "a non-idempotent internal call needs a call number"
        return with_fresh_token(node, CallReply(Error(not_run(Reason.TOKEN_REQUIRED, text))))
    if parent is None or reference.incarnation != node.incarnation:
        return with_fresh_token(node, orphan_reply(node, policy, metadata))
    action_id = parent.context.action_id
    reply = await run_internal(node, parent, internal_call(node, parent, policy, request, metadata))
    return with_fresh_token(node, reply, action_id)


def orphan_reply(node: NodeState, policy: CallPolicy, metadata: CallMetadata) -> CallReply:
    """Return the reply to an internal call whose parent call does not run here."""
    text = "the parent call does not run on this server"
    refusal = not_run(Reason.PARENT_GONE, text)
    if policy.idempotent:
        return CallReply(Error(refusal))
    reference = metadata.parent
    record = node.coordinated.records.get(internal_key(metadata))
    if record is not None and record.outcome is not None:
        return CallReply(record.outcome, record.retries_spent)
    # No attempt starts without a running parent call, so only an earlier attempt may have run: one
    # that still runs, one whose record has expired, or one sent to an ended incarnation.
    ended = reference.incarnation != node.incarnation
    if record is not None or (ended and metadata.attempt > 0) or may_have_expired(node, reference):
        refusal = may_have_run(Reason.PARENT_GONE, text)
    return CallReply(Error(refusal))


def may_have_expired(node: NodeState, reference: ParentReference) -> bool:
    """Return whether records of a parent's internal calls may have expired."""
    if reference.incarnation != node.incarnation:
        return False
    try:
        started_ms = int(reference.parent_call.split("-")[0], 16)
    except ValueError:
        return False
    return node.clock.now_ms() - started_ms >= node.settings.token_lifetime_ms


def internal_key(metadata: CallMetadata) -> str:
    """Return the execution key of a non-idempotent internal call."""
    return f"{metadata.parent.node}/{metadata.parent.parent_call}/{metadata.call_number}"


def internal_call(
    node: NodeState,
    parent: ParentCall,
    policy: CallPolicy,
    request: CallRequest,
    metadata: CallMetadata,
) -> OutgoingCall:
    """Return an internal call with the context of its parent call, one level deeper."""
    timeout_ms = min(metadata.timeout_ms or policy.timeout_ms, policy.timeout_ms)
    deadline_ms = min(parent.context.deadline_ms, node.clock.now_ms() + timeout_ms)
    context = evolve(parent.context, deadline_ms=deadline_ms, depth=parent.context.depth + 1)
    key = None if policy.idempotent else internal_key(metadata)
    return OutgoingCall(context, policy, request, RetryBudget(0), key, parent_budget=parent.budget)


async def run_internal(node: NodeState, parent: ParentCall, call: OutgoingCall) -> CallReply:
    """Run an internal call until it ends, its parent call ends or its caller disconnects."""
    run = dispatch_on_allotment(node, call) if call.key is None else coordinate_call(node, call)
    task = node.spawn(run)
    parent.internal.add(task)
    try:
        with node.internal_call(parent):
            await asyncio.wait({task})
    finally:
        parent.internal.discard(task)
        task.cancel()
    if task.cancelled():
        return CallReply(Error(may_have_run(Reason.CANCELLED, "the parent call has ended")))
    return task.result()


async def dispatch_on_allotment(node: NodeState, call: OutgoingCall) -> CallReply:
    """Run an idempotent internal call with retries allocated from its parent's budget."""
    allocate_from_parent(call)
    try:
        return await dispatch_call(node, call)
    finally:
        return_to_parent(call)
