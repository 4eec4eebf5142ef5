"""Send a call to a server that may run it, and retry within the budget."""

from attrs import evolve, frozen
from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest
from basilhill.commands.budgets import lend_retries, repay_retries, spend_retry
from basilhill.commands.routing import begin_call, end_call, record_levels
from basilhill.documents import CallPolicy
from basilhill.loads import ServerLoad
from basilhill.queries.budgets import lendable_retries
from basilhill.queries.routing import choose_server, refusing_service
from basilhill.verdicts import CallReply, Reason, Refusal, Verdict, not_run, verdict_of
from expression import Error

from basilhill_node.commands.execute_call import execute_call
from basilhill_node.state import NodeState

RETRY_AFTER_MIN_MS = 500
RETRY_AFTER_MAX_MS = 1_500


@frozen
class OpenCall:
    """Hold a call that this node sends on for a caller or for its backend server."""

    context: CallContext
    policy: CallPolicy
    request: CallRequest
    budget: RetryBudget
    key: str | None = None


async def dispatch_call(node: NodeState, call: OpenCall) -> CallReply:
    """Run a call on one server after another until it is answered or may not be retried."""
    excluded: frozenset[str] = frozenset()
    last: CallReply | None = None
    while True:
        refusal = refuse_at_source(node, call)
        if refusal is not None:
            return last or CallReply(Error(refusal))
        chosen = choose_server(
            node.routing, call.request.service, node.clock.now_ms(), node.random, excluded
        )
        if chosen.is_error():
            return last or CallReply(Error(chosen.error))
        server = chosen.ok
        node.log.record(
            "route", call.context.action_id, f"{call.policy.full_name} to {server.node}"
        )
        last = await send_to_server(node, call, server)
        if not retryable(node, call, last) or not spend_retry(call.budget):
            return last
        excluded |= {server.node}


def refuse_at_source(node: NodeState, call: OpenCall) -> Refusal | None:
    """Return a refusal if a service on the call's way would refuse it."""
    now_ms = node.clock.now_ms()
    service = refusing_service(
        node.routing,
        node.document,
        call.policy,
        call.context,
        now_ms,
        node.settings.level_lifetime_ms,
    )
    if service is not None:
        node.log.record("admit", call.context.action_id, "refused at source", service)
        retry_after_ms = node.random.randint(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
        return not_run(Reason.OVERLOADED, f"{service} is overloaded", retry_after_ms)
    if call.context.deadline_ms - now_ms < call.policy.usual_ms:
        return not_run(Reason.DEADLINE, "the remaining time is below the usual time")
    return None


async def send_to_server(node: NodeState, call: OpenCall, server: ServerLoad) -> CallReply:
    """Run a call on one server and record what came of it."""
    loan = lendable_retries(call.budget)
    lend_retries(call.budget, loan)
    context = evolve(call.context, retry_allotment=loan)
    begin_call(server)
    reply, spent = None, loan
    try:
        if server.node == node.settings.node:
            reply = await execute_call(node, context, call.key, call.request)
        else:
            channel = node.peers.channel(server.node)
            reply = await channel.execute(context, call.key, call.request)
        spent = reply.retries_spent
        return reply
    finally:
        repay_retries(call.budget, loan, spent)
        failed = reply is not None and is_failure(reply)
        end_call(server, failed, node.clock.now_ms())
        if reply is not None:
            record_levels(node.routing, server.node, reply.levels, node.clock.now_ms())


def is_failure(reply: CallReply) -> bool:
    """Tell whether a reply speaks against the server that gave it."""
    return reply.outcome.is_error() and reply.outcome.error.reason in (
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
        Reason.TRUNCATED,
    )


def retryable(node: NodeState, call: OpenCall, reply: CallReply) -> bool:
    """Tell whether another server may run the call."""
    verdict = verdict_of(reply.outcome)
    if verdict is Verdict.NOT_RUN:
        return reply.outcome.error.reason is not Reason.UNKNOWN_CALL
    return verdict is Verdict.MAY_HAVE_RUN and call.policy.idempotent
