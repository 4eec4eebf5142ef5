"""Filter poison requests, which crash the backend servers that run them."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from attrs import frozen
from basilhill.calls import CallRequest
from basilhill.commands.poison_requests import apply_crash_report
from basilhill.loads import ServerLoad
from basilhill.outcomes import CallReply, Reason, Refusal, not_run
from basilhill.poison_requests import CrashReport, PoisonStatus
from basilhill.queries.poison_requests import (
    choose_quarantine_server,
    fingerprint_of,
    poison_status,
)

from basilhill_node.state import NodeState, ParentCall

POISON_WAITING_MAX = 20
POISON_RETRY_AFTER_MS = 1_000
RUNNING_POISON_WAIT_MS = 500
# One crash breaks the connections of all calls in flight within this time.
SAME_CRASH_WINDOW_MS = 200
# The reply to a crashed call is delayed at most this long while peers are notified of the crash.
REPORT_WAIT_MS = 100


@frozen
class PoisonCheck:
    """Result of checking a call: whether it is a suspected poison request, and its refusal."""

    suspected: bool
    refusal: Refusal | None = None


def classify_request(node: NodeState, request: CallRequest) -> PoisonStatus:
    """Return whether a request is unsuspected, suspected or rejected as a poison request."""
    if not node.poison_requests.records or node.is_disabled("suspects"):
        return PoisonStatus.NONE
    return poison_status(
        node.poison_requests, compute_fingerprint(node, request), node.clock.now_ms()
    )


def compute_fingerprint(node: NodeState, request: CallRequest) -> str:
    """Return the fingerprint of a request over the headers that the settings select."""
    return fingerprint_of(request, node.settings.fingerprint_headers)


def assigned_server(node: NodeState, request: CallRequest) -> str | None:
    """Return the only server that may run a suspected poison request."""
    servers = (
        server.node
        for server in node.routing.servers.values()
        if server.service == request.service
        and not server.leaving
        and is_backend_available(node, server)
    )
    return choose_quarantine_server(
        node.poison_requests, compute_fingerprint(node, request), servers
    )


def is_backend_available(node: NodeState, server: ServerLoad) -> bool:
    """Return whether the backend server of a node is up by its latest reported state."""
    if server.node == node.settings.node:
        return node.admission.backend_available
    return server.reported_limit > 0


def poison_refusal() -> Refusal:
    """Return the refusal of a request that may crash backend servers."""
    text = "backend servers crashed while this request ran"
    return not_run(Reason.SUSPECT, text, POISON_RETRY_AFTER_MS)


@asynccontextmanager
async def check_poison_request(node: NodeState, request: CallRequest) -> AsyncIterator[PoisonCheck]:
    """Run suspected poison requests one at a time; yield whether this call may run here."""
    if classify_request(node, request) is PoisonStatus.NONE:
        yield PoisonCheck(suspected=False)
        return
    if node.poison_waiting >= POISON_WAITING_MAX:
        yield PoisonCheck(suspected=True, refusal=poison_refusal())
        return
    node.poison_waiting += 1
    try:
        async with node.poison_lock:
            await wait_for_poison_requests(node)
            yield PoisonCheck(suspected=True, refusal=poison_run_refusal(node, request))
    finally:
        node.poison_waiting -= 1


def running_poison_requests(node: NodeState) -> list[ParentCall]:
    """Return the running calls whose requests were reported as suspected after they started."""
    return [
        parent
        for parent in node.parent_calls.values()
        if classify_request(node, parent.request) is not PoisonStatus.NONE
    ]


async def wait_for_poison_requests(node: NodeState) -> None:
    """Wait, at most `RUNNING_POISON_WAIT_MS`, until no other suspected request runs here.

    A crash counts against every request in flight. A harmless request that runs beside a poison
    request would be rejected with it after two crashes.
    """
    running = [node.spawn(parent.ended.wait()) for parent in running_poison_requests(node)]
    if running:
        await asyncio.wait(running, timeout=RUNNING_POISON_WAIT_MS / 1000)


def poison_run_refusal(node: NodeState, request: CallRequest) -> Refusal | None:
    """Return the refusal of a suspected poison request, unless it may run here now."""
    found = classify_request(node, request)
    if found is PoisonStatus.NONE:
        return None
    assigned = (
        found is PoisonStatus.SUSPECT and assigned_server(node, request) == node.settings.node
    )
    if assigned and not running_poison_requests(node):
        return None
    return poison_refusal()


def late_poison_refusal(
    node: NodeState, request: CallRequest, check: PoisonCheck
) -> Refusal | None:
    """Return the refusal of a call whose request became suspected while it waited for a slot."""
    found = classify_request(node, request)
    if found is PoisonStatus.REFUSED or (found is PoisonStatus.SUSPECT and not check.suspected):
        return poison_refusal()
    return None


async def record_crash_outcome(node: NodeState, request: CallRequest, reply: CallReply) -> None:
    """Report a request that ran during a crash; clear a suspected one that completed."""
    if reply.outcome.is_ok():
        if classify_request(node, request) is not PoisonStatus.NONE:
            fingerprint = compute_fingerprint(node, request)
            crashes = node.poison_requests.records[fingerprint].crashes
            await publish_report(node, CrashReport(fingerprint, crashes, cleared=True))
        return
    if node.is_disabled("suspects") or not await crashed(node, reply):
        return
    now_ms = node.clock.now_ms()
    if node.crashes == 0 or now_ms - node.last_crash_ms > SAME_CRASH_WINDOW_MS:
        node.crashes += 1
        node.last_crash_ms = now_ms
    crash = f"{node.settings.node}/{node.incarnation}-{node.crashes}"
    await publish_report(node, CrashReport(compute_fingerprint(node, request), frozenset({crash})))


async def crashed(node: NodeState, reply: CallReply) -> bool:
    """Return whether a call ended because the backend server crashed."""
    if reply.outcome.error.reason is Reason.CONNECTION_LOST:
        return True
    return reply.outcome.error.reason is Reason.TRUNCATED and not await node.backend.is_running()


async def publish_report(node: NodeState, report: CrashReport) -> None:
    """Apply a report locally and send it to the service's nodes and to callers."""
    if not apply_crash_report(node.poison_requests, report, node.clock.now_ms()):
        return
    state = "cleared" if report.cleared else f"suspect {len(report.crashes)}"
    node.log.record("execute", "", f"{state} {report.fingerprint}")
    siblings = [
        vm.node
        for vm in node.fleet.vms.values()
        if vm.service == node.settings.service and vm.node != node.settings.node
    ]
    sends = [node.peers.channel(sibling).send_poison_reports((report,)) for sibling in siblings]
    await asyncio.wait(
        {
            node.spawn(send)
            for send in (*sends, node.connected_peers.send_poison_reports((report,)))
        },
        timeout=REPORT_WAIT_MS / 1000,
    )


def receive_poison_reports(
    node: NodeState, reports: Iterable[CrashReport], from_service: bool = False
) -> None:
    """Apply reports of a peer; forward new ones from a node of this service to callers."""
    now_ms = node.clock.now_ms()
    changes = tuple(r for r in reports if apply_crash_report(node.poison_requests, r, now_ms))
    if changes and from_service:
        node.spawn(node.connected_peers.send_poison_reports(changes))
