"""Coordinate the copies of non-idempotent calls."""

import asyncio

from basilhill.commands.executions import settle_execution, start_execution
from basilhill.queries.executions import find_execution
from basilhill.queries.tokens import token_status
from basilhill.tokens import IdempotencyToken, TokenStatus
from basilhill.verdicts import CallReply, Reason, Refusal, may_have_run, not_run
from expression import Error

from basilhill_node.commands.dispatch_call import OpenCall, dispatch_call
from basilhill_node.state import NodeState


async def coordinate_call(node: NodeState, call: OpenCall) -> CallReply:
    """Start the call of a key, or join the copy that has started."""
    record = find_execution(node.coordinated, call.key, node.clock.now_ms())
    if record is None:
        started = start_execution(node.coordinated, call.key, node.clock.now_ms())
        if started.is_error():
            return CallReply(Error(started.error))
        node.log.record("coordinate", call.context.action_id, f"granted {call.key}")
        node.coordinated_tasks[call.key] = node.spawn(run_coordinated(node, call))
    elif record.outcome is not None:
        node.log.record("coordinate", call.context.action_id, f"repeated outcome of {call.key}")
        return CallReply(record.outcome)
    else:
        node.log.record("coordinate", call.context.action_id, f"joined {call.key}")
    return await asyncio.shield(node.coordinated_tasks[call.key])


async def run_coordinated(node: NodeState, call: OpenCall) -> CallReply:
    """Run the call of a key and keep its outcome."""
    reply = CallReply(Error(may_have_run(Reason.CANCELLED, "the coordinator stopped")))
    try:
        reply = await dispatch_call(node, call)
        return reply
    finally:
        settle_execution(node.coordinated, call.key, reply.outcome)
        del node.coordinated_tasks[call.key]


async def forward_copy(
    node: NodeState, token: IdempotencyToken, attempt: int, call: OpenCall
) -> CallReply:
    """Pass a copy of a call to the coordinator of its token."""
    node.log.record("coordinate", call.context.action_id, f"forwarded to {token.node}")
    channel = node.peers.channel(token.node)
    reply = await channel.coordinate(token, attempt, call.context, call.request)
    if attempt > 0 and lost_on_the_way(reply):
        # An earlier copy may have reached the coordinator through another node.
        return CallReply(Error(may_have_run(Reason.COORDINATOR_GONE, "an earlier copy may run")))
    return reply


def lost_on_the_way(reply: CallReply) -> bool:
    """Tell whether a copy never reached its coordinator."""
    return reply.outcome.is_error() and reply.outcome.error.reason is Reason.UNREACHABLE


def token_refusal(node: NodeState, token: IdempotencyToken, attempt: int) -> Refusal | None:
    """Return a refusal for a token that this node cannot coordinate, or None."""
    status = token_status(node.issuer, token, node.clock.now_ms())
    if status is TokenStatus.INVALID:
        return not_run(Reason.TOKEN_INVALID, "this node did not issue the token")
    if status is TokenStatus.ENDED_INCARNATION:
        if attempt == 0:
            return not_run(Reason.COORDINATOR_GONE, "the coordinator restarted")
        return may_have_run(Reason.COORDINATOR_GONE, "the coordinator restarted")
    if status is TokenStatus.EXPIRED:
        return may_have_run(Reason.TOKEN_EXPIRED, "the token's lifetime is over")
    return None
