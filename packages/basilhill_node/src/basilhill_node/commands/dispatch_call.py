"""Send a call to an eligible server and retry it on others within the retry budget."""

from http import HTTPStatus

from attrs import evolve, frozen
from basilhill.budgets import RetryBudget
from basilhill.calls import CallContext, CallRequest
from basilhill.commands.budgets import allocate_retries, return_retries, spend_retry
from basilhill.commands.routing import begin_call, cached_path_level, end_call, record_levels
from basilhill.documents import CallPolicy
from basilhill.loads import ServerLoad
from basilhill.outcomes import (
    CallReply,
    ExecutionStatus,
    Reason,
    Refusal,
    execution_status_of,
    may_have_run,
    not_run,
)
from basilhill.poison_requests import PoisonStatus
from basilhill.queries.admission import has_free_slot, passes_level
from basilhill.queries.budgets import allocatable_retries, may_retry, used_retries
from basilhill.queries.routing import choose_server
from expression import Error, Ok, Result

from basilhill_node.commands.execute_call import execute_call
from basilhill_node.commands.filter_poison_requests import (
    assigned_server,
    classify_request,
    poison_refusal,
)
from basilhill_node.commands.maintain_streams import use_service
from basilhill_node.commands.revoke_call import revoke_at_executor
from basilhill_node.state import CoordinatedRun, NodeState

RETRY_AFTER_MIN_MS = 500
RETRY_AFTER_MAX_MS = 1_500


@frozen
class OutgoingCall:
    """Call that this node sends to an executor for a client or for the local backend server."""

    context: CallContext
    policy: CallPolicy
    request: CallRequest
    budget: RetryBudget
    key: str | None = None
    run: CoordinatedRun | None = None
    parent_budget: RetryBudget | None = None


async def dispatch_call(node: NodeState, call: OutgoingCall) -> CallReply:
    """Run a call on one server after another until it completes or must not be retried."""
    excluded: frozenset[str] = frozenset()
    last = uncertain = None
    while True:
        refusal = origin_refusal(node, call)
        if refusal is not None:
            return with_total_retries(call, uncertain or last or CallReply(Error(refusal)))
        chosen = select_server(node, call, excluded)
        if chosen.is_error():
            return with_total_retries(call, uncertain or last or CallReply(Error(chosen.error)))
        # A retry is spent only once a server for it has been selected.
        if last is not None and not spend_retry(call.budget):
            call.budget.spent += 1
        server = chosen.ok
        node.log.record(
            "route", call.context.action_id, f"{call.policy.full_name} to {server.node}"
        )
        last = await send_to_server(node, call, server)
        if not can_retry(node, call, last):
            refused = execution_status_of(last.outcome) is ExecutionStatus.NOT_RUN
            return with_total_retries(call, uncertain if refused and uncertain else last)
        if execution_status_of(last.outcome) is ExecutionStatus.MAY_HAVE_RUN:
            # The call may have run here, so a refusal by a later server must not report "not run".
            uncertain = last
        excluded |= {server.node}


def allocate_from_parent(call: OutgoingCall) -> None:
    """Allocate the retries of a starting call from its parent's budget."""
    if call.parent_budget is not None:
        call.budget.allotment = allocatable_retries(call.parent_budget)
        allocate_retries(call.parent_budget, call.budget.allotment)


def return_to_parent(call: OutgoingCall) -> None:
    """Return the retries that a call neither spent nor allocated to calls without a reply."""
    if call.parent_budget is not None:
        return_retries(call.parent_budget, call.budget.allotment, used_retries(call.budget))


def with_total_retries(call: OutgoingCall, reply: CallReply) -> CallReply:
    """Return a reply whose count of retries includes the child calls."""
    return evolve(reply, retries_spent=used_retries(call.budget))


def select_server(
    node: NodeState, call: OutgoingCall, excluded: frozenset[str]
) -> Result[ServerLoad, Refusal]:
    """Return the server to send a call to, or the refusal if no server may run it."""
    service = call.request.service
    found = classify_request(node, call.request)
    if found is PoisonStatus.REFUSED:
        return Error(poison_refusal())
    if found is PoisonStatus.SUSPECT:
        assigned = assigned_server(node, call.request)
        if assigned is None or assigned in excluded:
            return Error(poison_refusal())
        return Ok(node.routing.servers[assigned])
    return choose_server(
        node.routing,
        use_service(node, service),
        call.context,
        node.clock.now_ms(),
        node.random,
        excluded,
        local_server_free=service == node.settings.service and has_free_slot(node.admission),
    )


def origin_refusal(node: NodeState, call: OutgoingCall) -> Refusal | None:
    """Return a refusal if no attempt awaits the call, its path is overloaded or time is short."""
    if call.run is not None and call.run.withdrawn:
        return not_run(Reason.CANCELLED, "no copy of the call waits any more")
    now_ms = node.clock.now_ms()
    strictest = cached_path_level(
        node.routing, node.document, call.policy, now_ms, node.settings.level_lifetime_ms
    )
    if not passes_level(call.context, strictest.level) and not node.is_disabled("levels"):
        node.log.record("admit", call.context.action_id, "refused at origin", strictest.service)
        retry_after_ms = node.random.randint(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
        return not_run(Reason.OVERLOADED, f"{strictest.service} is overloaded", retry_after_ms)
    if call.context.deadline_ms - now_ms < call.policy.usual_ms:
        return not_run(Reason.DEADLINE, "the remaining time is below the usual time")
    return None


async def send_to_server(node: NodeState, call: OutgoingCall, server: ServerLoad) -> CallReply:
    """Run a call on one server; update retry budget, server statistics and levels by the reply."""
    allotted_retries = allocatable_retries(call.budget)
    allocate_retries(call.budget, allotted_retries)
    context = evolve(call.context, retry_allotment=allotted_retries)
    begin_call(server)
    reply, spent = None, allotted_retries
    try:
        reply = await run_on_server(node, call, server, context)
        spent = reply.retries_spent
        return reply
    finally:
        return_retries(call.budget, allotted_retries, spent)
        failed = reply is not None and is_server_failure(reply)
        record_call_end(node, server, failed)
        if reply is not None:
            record_levels(node.routing, server.node, reply.levels, node.clock.now_ms())


async def run_on_server(
    node: NodeState, call: OutgoingCall, server: ServerLoad, context: CallContext
) -> CallReply:
    """Run a call on one server; if the reply is lost, get the outcome from the executor."""
    run = call.run
    if run is not None:
        run.executor, run.incarnation = server.node, ""
        run.granted_ms, run.allotted_retries = node.clock.now_ms(), context.retry_allotment
    if server.node == node.settings.node:
        return await execute_call(node, context, call.key, call.request)
    result = await node.peers.channel(server.node).execute(context, call.key, call.request)
    if result.is_ok():
        return result.ok
    lost = result.error
    if not lost.sent:
        return CallReply(Error(not_run(Reason.UNREACHABLE, f"{server.node} is not reachable")))
    if run is not None and not node.is_disabled("revocation"):
        run.incarnation = lost.incarnation
        return await revoke_at_executor(node, run, call.key, context)
    refusal = may_have_run(Reason.CONNECTION_LOST, f"no reply from {server.node}")
    return CallReply(Error(refusal), context.retry_allotment)


def record_call_end(node: NodeState, server: ServerLoad, failed: bool) -> None:
    """Record the end of a call to a server; eject the server after repeated failures."""
    failed = failed and not node.is_disabled("ejection")
    if end_call(node.routing, server, failed, node.clock.now_ms(), node.random):
        period_ms = server.ejected_until_ms - node.clock.now_ms()
        node.log.record("route", "", f"ejected {server.node} for {period_ms} ms")


def is_server_failure(reply: CallReply) -> bool:
    """Return whether a reply counts as a failure of the server that sent it.

    Statuses other than 500 may be caused by a server further down the call path, and missed
    deadlines by a slow server there.
    """
    if reply.outcome.is_ok():
        return reply.outcome.ok.status == HTTPStatus.INTERNAL_SERVER_ERROR
    return reply.outcome.error.reason in (
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
        Reason.TRUNCATED,
    )


def can_retry(node: NodeState, call: OutgoingCall, reply: CallReply) -> bool:
    """Return whether the call may be retried on another server."""
    if not may_retry(call.budget) and not node.is_disabled("retry-budget"):
        return False
    status = execution_status_of(reply.outcome)
    if status is ExecutionStatus.NOT_RUN:
        return reply.outcome.error.reason is not Reason.UNKNOWN_CALL
    # A call with a key counts as non-idempotent even if the active document now says otherwise.
    return status is ExecutionStatus.MAY_HAVE_RUN and call.key is None and call.policy.idempotent
