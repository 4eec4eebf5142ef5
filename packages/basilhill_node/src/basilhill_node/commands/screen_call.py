"""Keep requests that crash backend servers from crashing more of them."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from attrs import frozen
from basilhill.calls import CallRequest
from basilhill.commands.suspects import apply_report
from basilhill.loads import ServerLoad
from basilhill.queries.suspects import fingerprint_of, suspect_server, suspicion_of
from basilhill.suspects import SuspectReport, Suspicion
from basilhill.verdicts import CallReply, Reason, Refusal, not_run

from basilhill_node.state import NodeState, ParentCall

SUSPECTS_WAITING_MAX = 20
SUSPECT_RETRY_AFTER_MS = 1_000
RUNNING_SUSPECTS_MS = 500
# A crash breaks the connections of all calls in flight within this time.
ONE_CRASH_MS = 200
# The reply to a crashed call waits at most this long until its peers know of the crash.
REPORT_MS = 100


@frozen
class Screening:
    """Tell whether a call runs as a suspect, and why it must not run."""

    suspect: bool
    refusal: Refusal | None = None


def suspicion(node: NodeState, request: CallRequest) -> Suspicion:
    """Tell how this node treats a request."""
    if not node.suspects.records or node.disabled("suspects"):
        return Suspicion.NONE
    return suspicion_of(node.suspects, own_fingerprint(node, request), node.clock.now_ms())


def own_fingerprint(node: NodeState, request: CallRequest) -> str:
    """Return the fingerprint of a request under this node's settings."""
    return fingerprint_of(request, node.settings.fingerprint_headers)


def assigned_server(node: NodeState, request: CallRequest) -> str | None:
    """Return the one server that may run a suspect."""
    servers = (
        server.node
        for server in node.routing.servers.values()
        if server.service == request.service and not server.leaving and takes_work(node, server)
    )
    return suspect_server(node.suspects, own_fingerprint(node, request), servers)


def takes_work(node: NodeState, server: ServerLoad) -> bool:
    """Tell whether the backend server of a node is up, as far as this node knows."""
    if server.node == node.settings.node:
        return node.admission.able
    return server.reported_limit > 0


def suspect_refusal() -> Refusal:
    """Return the refusal of a request that may crash a server."""
    text = "backend servers crashed while this request ran"
    return not_run(Reason.SUSPECT, text, SUSPECT_RETRY_AFTER_MS)


@asynccontextmanager
async def screen_call(node: NodeState, request: CallRequest) -> AsyncIterator[Screening]:
    """Let suspects run one at a time; yield whether this call may run here."""
    if suspicion(node, request) is Suspicion.NONE:
        yield Screening(suspect=False)
        return
    if node.suspects_waiting >= SUSPECTS_WAITING_MAX:
        yield Screening(suspect=True, refusal=suspect_refusal())
        return
    node.suspects_waiting += 1
    try:
        async with node.suspect_lock:
            await wait_for_suspects(node)
            yield Screening(suspect=True, refusal=refuse_suspect(node, request))
    finally:
        node.suspects_waiting -= 1


def running_suspects(node: NodeState) -> list[ParentCall]:
    """Return the suspects that run here, which started before their crash was reported."""
    return [
        parent
        for parent in node.parents.values()
        if suspicion(node, parent.request) is not Suspicion.NONE
    ]


async def wait_for_suspects(node: NodeState) -> None:
    """Wait for a bounded time until no other suspect runs here.

    A crash counts for all requests in flight, so a request beside the one that causes two crashes
    would be refused with it.
    """
    running = [node.spawn(parent.ended.wait()) for parent in running_suspects(node)]
    if running:
        await asyncio.wait(running, timeout=RUNNING_SUSPECTS_MS / 1000)


def refuse_suspect(node: NodeState, request: CallRequest) -> Refusal | None:
    """Return the refusal of a suspect, unless it may run here now."""
    found = suspicion(node, request)
    if found is Suspicion.NONE:
        return None
    assigned = found is Suspicion.SUSPECT and assigned_server(node, request) == node.settings.node
    if assigned and not running_suspects(node):
        return None
    return suspect_refusal()


def refuse_new_suspect(
    node: NodeState, request: CallRequest, screening: Screening
) -> Refusal | None:
    """Return the refusal of a call of which a crash was reported while it waited for its slot."""
    found = suspicion(node, request)
    if found is Suspicion.REFUSED or (found is Suspicion.SUSPECT and not screening.suspect):
        return suspect_refusal()
    return None


async def judge_run(node: NodeState, request: CallRequest, reply: CallReply) -> None:
    """Mark a request that ran during a crash, clear a suspect that ran cleanly."""
    if reply.outcome.is_ok():
        if suspicion(node, request) is not Suspicion.NONE:
            fingerprint = own_fingerprint(node, request)
            crashes = node.suspects.records[fingerprint].crashes
            await publish(node, SuspectReport(fingerprint, crashes, cleared=True))
        return
    if node.disabled("suspects") or not await crashed(node, reply):
        return
    now_ms = node.clock.now_ms()
    if node.crashes == 0 or now_ms - node.crashed_ms > ONE_CRASH_MS:
        node.crashes += 1
        node.crashed_ms = now_ms
    crash = f"{node.settings.node}/{node.incarnation}-{node.crashes}"
    await publish(node, SuspectReport(own_fingerprint(node, request), frozenset({crash})))


async def crashed(node: NodeState, reply: CallReply) -> bool:
    """Tell whether a call ended because the backend server crashed."""
    if reply.outcome.error.reason is Reason.CONNECTION_LOST:
        return True
    return reply.outcome.error.reason is Reason.TRUNCATED and not await node.backend.probe()


async def publish(node: NodeState, report: SuspectReport) -> None:
    """Apply a report here and tell the service's nodes and the callers."""
    if not apply_report(node.suspects, report, node.clock.now_ms()):
        return
    state = "cleared" if report.cleared else f"suspect {len(report.crashes)}"
    node.log.record("execute", "", f"{state} {report.fingerprint}")
    siblings = [
        vm.node
        for vm in node.fleet.vms.values()
        if vm.service == node.settings.service and vm.node != node.settings.node
    ]
    sends = [node.peers.channel(sibling).send_suspects((report,)) for sibling in siblings]
    await asyncio.wait(
        {node.spawn(send) for send in (*sends, node.callers.send_suspects((report,)))},
        timeout=REPORT_MS / 1000,
    )


def receive_reports(
    node: NodeState, reports: Iterable[SuspectReport], from_service: bool = False
) -> None:
    """Apply reports of a peer; pass news from a node of this service on to the callers."""
    now_ms = node.clock.now_ms()
    news = tuple(r for r in reports if apply_report(node.suspects, r, now_ms))
    if news and from_service:
        node.spawn(node.callers.send_suspects(news))
