"""Send a call to a server that may run it, and retry within the budget."""

from http import HTTPStatus

from attrs import evolve, frozen
from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest
from basilhill.commands.budgets import lend_retries, repay_retries, spend_retry
from basilhill.commands.routing import begin_call, end_call, record_levels, source_gate
from basilhill.documents import CallPolicy
from basilhill.loads import ServerLoad
from basilhill.queries.admission import has_free_slot, passes_level
from basilhill.queries.budgets import lendable_retries, may_retry, used_retries
from basilhill.queries.routing import choose_server
from basilhill.suspects import Suspicion
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

from basilhill_node.commands.execute_call import execute_call
from basilhill_node.commands.keep_streams import use_service
from basilhill_node.commands.revoke_call import ask_executor
from basilhill_node.commands.screen_call import assigned_server, suspect_refusal, suspicion
from basilhill_node.state import CoordinatedRun, NodeState

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
    run: CoordinatedRun | None = None
    lender: RetryBudget | None = None


async def dispatch_call(node: NodeState, call: OpenCall) -> CallReply:
    """Run a call on one server after another until it is answered or may not be retried."""
    excluded: frozenset[str] = frozenset()
    last = uncertain = None
    while True:
        refusal = refuse_at_source(node, call)
        if refusal is not None:
            return total_reply(call, uncertain or last or CallReply(Error(refusal)))
        chosen = pick_server(node, call, excluded)
        if chosen.is_error():
            return total_reply(call, uncertain or last or CallReply(Error(chosen.error)))
        # Spent only when a server is about to get the retry.
        if last is not None and not spend_retry(call.budget):
            call.budget.spent += 1
        server = chosen.ok
        node.log.record(
            "route", call.context.action_id, f"{call.policy.full_name} to {server.node}"
        )
        last = await send_to_server(node, call, server)
        if not retryable(node, call, last):
            refused = verdict_of(last.outcome) is Verdict.NOT_RUN
            return total_reply(call, uncertain if refused and uncertain else last)
        if verdict_of(last.outcome) is Verdict.MAY_HAVE_RUN:
            # A later server that refuses the call does not make "not run" true.
            uncertain = last
        excluded |= {server.node}


def borrow_retries(call: OpenCall) -> None:
    """Take the allotment of a call from its lender, at the moment when the call starts."""
    if call.lender is not None:
        call.budget.allotment = lendable_retries(call.lender)
        lend_retries(call.lender, call.budget.allotment)


def return_loan(call: OpenCall) -> None:
    """Give back what a call has neither spent nor lent to calls whose replies are missing."""
    if call.lender is not None:
        repay_retries(call.lender, call.budget.allotment, used_retries(call.budget))


def total_reply(call: OpenCall, reply: CallReply) -> CallReply:
    """Return a reply with all retries of the call and of the calls below it."""
    return evolve(reply, retries_spent=used_retries(call.budget))


def pick_server(
    node: NodeState, call: OpenCall, excluded: frozenset[str]
) -> Result[ServerLoad, Refusal]:
    """Return the server that gets a call, or why none may get it."""
    service = call.request.service
    found = suspicion(node, call.request)
    if found is Suspicion.REFUSED:
        return Error(suspect_refusal())
    if found is Suspicion.SUSPECT:
        assigned = assigned_server(node, call.request)
        if assigned is None or assigned in excluded:
            return Error(suspect_refusal())
        return Ok(node.routing.servers[assigned])
    return choose_server(
        node.routing,
        use_service(node, service),
        call.context,
        node.clock.now_ms(),
        node.random,
        excluded,
        own_free=service == node.settings.service and has_free_slot(node.admission),
    )


def refuse_at_source(node: NodeState, call: OpenCall) -> Refusal | None:
    """Return a refusal if nobody waits for the call or a service on its way would refuse it."""
    if call.run is not None and call.run.withdrawn:
        return not_run(Reason.CANCELLED, "no copy of the call waits any more")
    now_ms = node.clock.now_ms()
    gate = source_gate(
        node.routing, node.document, call.policy, now_ms, node.settings.level_lifetime_ms
    )
    if not passes_level(call.context, gate.level) and not node.disabled("levels"):
        node.log.record("admit", call.context.action_id, "refused at source", gate.service)
        retry_after_ms = node.random.randint(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
        return not_run(Reason.OVERLOADED, f"{gate.service} is overloaded", retry_after_ms)
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
        reply = await run_on_server(node, call, server, context)
        spent = reply.retries_spent
        return reply
    finally:
        repay_retries(call.budget, loan, spent)
        failed = reply is not None and is_failure(reply)
        finish(node, server, failed)
        if reply is not None:
            record_levels(node.routing, server.node, reply.levels, node.clock.now_ms())


async def run_on_server(
    node: NodeState, call: OpenCall, server: ServerLoad, context: CallContext
) -> CallReply:
    """Run a call on one server; find out what became of it when the reply is lost."""
    run = call.run
    if run is not None:
        run.executor, run.incarnation = server.node, ""
        run.granted_ms, run.loan = node.clock.now_ms(), context.retry_allotment
    if server.node == node.settings.node:
        return await execute_call(node, context, call.key, call.request)
    result = await node.peers.channel(server.node).execute(context, call.key, call.request)
    if result.is_ok():
        return result.ok
    lost = result.error
    if not lost.sent:
        return CallReply(Error(not_run(Reason.UNREACHABLE, f"{server.node} is not reachable")))
    if run is not None and not node.disabled("revocation"):
        run.incarnation = lost.incarnation
        return await ask_executor(node, run, call.key, context)
    refusal = may_have_run(Reason.CONNECTION_LOST, f"no reply from {server.node}")
    return CallReply(Error(refusal), context.retry_allotment)


def finish(node: NodeState, server: ServerLoad, failed: bool) -> None:
    """Count a call to a server as over; stop using the server after repeated failures."""
    failed = failed and not node.disabled("ejection")
    if end_call(node.routing, server, failed, node.clock.now_ms(), node.random):
        period_ms = server.ejected_until_ms - node.clock.now_ms()
        node.log.record("route", "", f"ejected {server.node} for {period_ms} ms")


def is_failure(reply: CallReply) -> bool:
    """Tell whether a reply speaks against the server that gave it.

    Other statuses than 500 may tell of a server further down, and a deadline of a slow one.
    """
    if reply.outcome.is_ok():
        return reply.outcome.ok.status == HTTPStatus.INTERNAL_SERVER_ERROR
    return reply.outcome.error.reason in (
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
        Reason.TRUNCATED,
    )


def retryable(node: NodeState, call: OpenCall, reply: CallReply) -> bool:
    """Tell whether another server may run the call."""
    if not may_retry(call.budget) and not node.disabled("retry-budget"):
        return False
    verdict = verdict_of(reply.outcome)
    if verdict is Verdict.NOT_RUN:
        return reply.outcome.error.reason is not Reason.UNKNOWN_CALL
    # Keyed calls count as non-idempotent whatever the document in force says by now.
    return verdict is Verdict.MAY_HAVE_RUN and call.key is None and call.policy.idempotent
