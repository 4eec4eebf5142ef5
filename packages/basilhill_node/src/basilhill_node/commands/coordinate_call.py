"""Coordinate the attempts of non-idempotent calls, so that each call runs at most once."""

import asyncio

from attrs import evolve
from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest
from basilhill.commands.budgets import acquire_permit
from basilhill.commands.executions import complete_execution, reject_execution, start_execution
from basilhill.outcomes import CallReply, ExecutionStatus, Reason, Refusal, may_have_run, not_run
from basilhill.queries.documents import find_call
from basilhill.queries.executions import find_execution, request_digest
from basilhill.queries.tokens import token_status
from basilhill.tokens import IdempotencyToken, TokenStatus
from expression import Error

from basilhill_node.commands.dispatch_call import (
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    OutgoingCall,
    allocate_from_parent,
    dispatch_call,
    return_to_parent,
)
from basilhill_node.commands.leave_fleet import leaving_refusal
from basilhill_node.commands.revoke_call import is_uncertain, resolve_uncertain, withdraw_run
from basilhill_node.state import CoordinatedRun, NodeState

REJECT_TIMEOUT_MS = 1_000


async def coordinate_attempt(
    node: NodeState,
    token: IdempotencyToken,
    attempt: int,
    context: CallContext,
    request: CallRequest,
) -> CallReply:
    """Coordinate one attempt of a call whose token this node issued."""
    refusal = token_refusal(node, token, attempt)
    if refusal is not None:
        return CallReply(Error(refusal))
    policy = find_call(node.document, request.service, request.method, request.path)
    if policy is None:
        unknown = not_run(Reason.UNKNOWN_CALL, "the coordinator does not know the call")
        return reject_key(node, token.key, unknown)
    unknown_key = find_execution(node.coordinated, token.key, node.clock.now_ms()) is None
    leaving = leaving_refusal(node) if unknown_key else None
    if leaving is not None:
        return reject_key(node, token.key, leaving)
    limit = customer_refusal(node, context.customer) if unknown_key and attempt > 0 else None
    if limit is not None:
        return reject_key(node, token.key, limit)
    budget = RetryBudget(context.retry_allotment)
    return await coordinate_call(node, OutgoingCall(context, policy, request, budget, token.key))


def customer_refusal(node: NodeState, customer: str) -> Refusal | None:
    """Consume a permit of the customer's bucket; return a refusal if the bucket is empty."""
    if node.is_disabled("customer-buckets"):
        return None
    if acquire_permit(node.customers, customer, node.clock.now_ms()):
        return None
    retry_after_ms = node.random.randint(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    text = "the customer has too many repeated or unanswered calls"
    return not_run(Reason.CUSTOMER_LIMIT, text, retry_after_ms)


async def coordinate_call(node: NodeState, call: OutgoingCall) -> CallReply:
    """Start the call of a key, or wait for the run that an earlier attempt started."""
    if node.is_disabled("token-records"):
        return await dispatch_call(node, evolve(call, key=None))
    digest = request_digest(call.request)
    record = find_execution(node.coordinated, call.key, node.clock.now_ms())
    if record is None:
        started = start_execution(node.coordinated, call.key, node.clock.now_ms(), digest)
        if started.is_error():
            return CallReply(Error(started.error))
        start_run(node, call)
        node.log.record("coordinate", call.context.action_id, f"granted {call.key}")
    elif record.digest not in (b"", digest):
        text = "the token belongs to another request"
        return CallReply(Error(may_have_run(Reason.TOKEN_INVALID, text)))
    elif record.outcome is not None:
        node.log.record(
            "coordinate", call.context.action_id, f"returned the recorded outcome of {call.key}"
        )
        return CallReply(record.outcome, record.retries_spent)
    else:
        node.log.record("coordinate", call.context.action_id, f"joined the run of {call.key}")
    return await wait_for_run(node, call)


def start_run(node: NodeState, call: OutgoingCall) -> None:
    """Start the only run of a key; the run itself returns unspent retries to the parent."""
    run = CoordinatedRun()
    allocate_from_parent(call)
    node.coordinated_runs[call.key] = run
    run.task = node.spawn(run_coordinated(node, evolve(call, run=run)))


async def wait_for_run(node: NodeState, call: OutgoingCall) -> CallReply:
    """Wait for the run of a key until it completes or the deadline of this attempt passes."""
    run = node.coordinated_runs[call.key]
    run.waiting_attempts += 1
    # The run ends by itself at its deadline plus the grace time, and its execution status is more
    # precise than a timeout here.
    wait_ms = call.context.deadline_ms - node.clock.now_ms() + 3 * node.settings.grace_ms
    try:
        async with asyncio.timeout(max(0, wait_ms) / 1000):
            return await asyncio.shield(run.task)
    except TimeoutError:
        refusal = may_have_run(Reason.DEADLINE, "the call had not settled by the copy's deadline")
        return CallReply(Error(refusal), call.context.retry_allotment)
    finally:
        run.waiting_attempts -= 1
        if run.waiting_attempts == 0 and not run.task.done():
            withdraw_run(node, call.key, run)


async def run_coordinated(node: NodeState, call: OutgoingCall) -> CallReply:
    """Run the call of a key and record its outcome; this task is never cancelled."""
    reply = CallReply(Error(may_have_run(Reason.CANCELLED, "the coordinator stopped")))
    try:
        with node.open_call():
            reply = await dispatch_call(node, call)
        return reply
    finally:
        complete_execution(node.coordinated, call.key, reply.outcome, reply.retries_spent)
        del node.coordinated_runs[call.key]
        return_to_parent(call)
        # `incarnation` is set only if a reply was lost; an outcome that the executor returned is
        # final.
        if is_uncertain(reply) and call.run.incarnation:
            node.spawn(resolve_uncertain(node, call.run, call.key))


def reject_key(node: NodeState, key: str, refusal: Refusal) -> CallReply:
    """Reject a key before one of its attempts is refused; return its outcome if it has one."""
    now_ms = node.clock.now_ms()
    record = find_execution(node.coordinated, key, now_ms)
    if record is not None and record.outcome is not None:
        return CallReply(record.outcome, record.retries_spent)
    if node.is_disabled("key-rejection"):
        return CallReply(Error(refusal))
    rejected = reject_execution(node.coordinated, key, refusal, now_ms)
    return CallReply(Error(refusal if rejected.is_ok() else rejected.error))


def refuse_token(
    node: NodeState, token: IdempotencyToken, attempt: int, refusal: Refusal
) -> CallReply:
    """Refuse an attempt whose token this node issued, after rejecting its key."""
    invalid = token_refusal(node, token, attempt)
    return CallReply(Error(invalid)) if invalid else reject_key(node, token.key, refusal)


async def refuse_attempt(
    node: NodeState, token: IdempotencyToken, attempt: int, refusal: Refusal
) -> CallReply:
    """Refuse an attempt of a call after the coordinator of its token has rejected its key."""
    if token.node == node.settings.node:
        return refuse_token(node, token, attempt, refusal)
    if not is_known_coordinator(node, token):
        return coordinator_unavailable(node, token, attempt, sent=False)
    channel = node.peers.channel(token.node)
    result = await channel.reject(token, attempt, refusal, REJECT_TIMEOUT_MS)
    if result.is_ok():
        return result.ok
    return coordinator_unavailable(node, token, attempt, result.error.sent)


async def forward_attempt(
    node: NodeState, token: IdempotencyToken, attempt: int, call: OutgoingCall
) -> CallReply:
    """Forward an attempt of a call to the coordinator of its token."""
    if not is_known_coordinator(node, token):
        return coordinator_unavailable(node, token, attempt, sent=False)
    node.log.record("coordinate", call.context.action_id, f"forwarded to {token.node}")
    channel = node.peers.channel(token.node)
    result = await channel.coordinate(token, attempt, call.context, call.request)
    if result.is_ok():
        return result.ok
    lost = coordinator_unavailable(node, token, attempt, result.error.sent)
    return evolve(lost, retries_spent=call.budget.allotment if result.error.sent else 0)


def is_known_coordinator(node: NodeState, token: IdempotencyToken) -> bool:
    """Return whether a token names a node of the fleet; the node connects to no other address."""
    fleet = node.fleet
    return not fleet.vms or token.node in fleet.vms or token.node in fleet.incarnations


def coordinator_unavailable(
    node: NodeState, token: IdempotencyToken, attempt: int, sent: bool
) -> CallReply:
    """Return the refusal of an attempt whose coordinator sent no reply."""
    known = node.fleet.incarnations.get(token.node)
    restarted = known not in (None, token.incarnation)
    text = "the coordinator restarted" if restarted else "the coordinator is not reachable"
    # Unless this is the first attempt, others may have reached the coordinator through other nodes.
    status = ExecutionStatus.NOT_RUN if attempt == 0 and not sent else ExecutionStatus.MAY_HAVE_RUN
    return CallReply(Error(Refusal(status, Reason.COORDINATOR_GONE, text)))


def token_refusal(node: NodeState, token: IdempotencyToken, attempt: int) -> Refusal | None:
    """Return the refusal of a token that this node cannot coordinate, else None."""
    status = token_status(node.issuer, token, node.clock.now_ms())
    if status in (TokenStatus.INVALID, TokenStatus.OTHER_COORDINATOR):
        return not_run(Reason.TOKEN_INVALID, "this node did not issue the token")
    if status is TokenStatus.ENDED_INCARNATION:
        if attempt == 0:
            return not_run(Reason.COORDINATOR_GONE, "the coordinator restarted")
        return may_have_run(Reason.COORDINATOR_GONE, "the coordinator restarted")
    if status is TokenStatus.EXPIRED:
        return may_have_run(Reason.TOKEN_EXPIRED, "the token's lifetime is over")
    return None
