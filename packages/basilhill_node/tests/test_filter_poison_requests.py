"""Tests of suspected poison requests on one node: concurrent calls and reports to peers."""

import asyncio

from attrs import define, field
from basilhill.calls import CallContext, CallRequest, PriorityClass
from basilhill.commands.poison_requests import apply_crash_report
from basilhill.outcomes import Answer, ExecutionStatus, Reason, execution_status_of
from basilhill.poison_requests import CrashReport
from basilhill_fakes.node_states import (
    LOCAL_NODE,
    PEER_NODE,
    DiscardingPeers,
    new_node_state,
)
from basilhill_node.commands.execute_call import execute_call
from basilhill_node.commands.filter_poison_requests import assigned_server, compute_fingerprint
from basilhill_node.frames import FrameSender
from basilhill_node.peer_server import IncomingStream, PeerService
from expression import Ok

SECTION = """
[team.a.service.calendar]
slots = 4
connections = 10
[team.a.service.calendar.call.slots]
method = "GET"
path = "/slots"
idempotent = true
timeout_ms = 1000
usual_ms = 20
"""
CRASHED = "127.0.0.3:7401"
FIRST = CallRequest("calendar", "GET", "/slots?day=1")
SECOND = CallRequest("calendar", "GET", "/slots?day=2")


@define(eq=False)
class BlockingBackend:
    """Backend server that responds to a path only after the test releases it."""

    running: list[str] = field(factory=list)
    released: dict[str, asyncio.Event] = field(factory=dict)

    async def call(self, request, parent, timeout_ms):
        self.running.append(request.path)
        await self.released.setdefault(request.path, asyncio.Event()).wait()
        self.running.remove(request.path)
        return Ok(Answer(200, (), b"done"))


def new_node():
    node = new_node_state(SECTION, BlockingBackend(), 4, (LOCAL_NODE, PEER_NODE, CRASHED))
    node.peers = node.connected_peers = DiscardingPeers()
    return node


def start_call(node, request):
    deadline_ms = node.clock.now_ms() + 5_000
    context = CallContext("action", "browse", PriorityClass.STANDARD, deadline_ms, cohort=0)
    return asyncio.create_task(execute_call(node, context, None, request))


def report(node, request, server=CRASHED):
    crashes = frozenset({f"{server}/first-1"})
    apply_crash_report(
        node.poison_requests,
        CrashReport(compute_fingerprint(node, request), crashes),
        node.clock.now_ms(),
    )


async def run_pending_tasks():
    for _ in range(10):
        await asyncio.sleep(0)


async def test_suspected_request_waits_for_one_that_started_before_its_report():
    """Guard against counting a second crash by one request against another that runs beside it."""
    node = new_node()
    node.routing.servers[PEER_NODE].reported_limit = 0
    harmless = start_call(node, FIRST)
    await run_pending_tasks()
    report(node, FIRST)
    report(node, SECOND)
    suspected = start_call(node, SECOND)
    await run_pending_tasks()
    assert node.backend.running == [FIRST.path]
    node.backend.released[FIRST.path].set()
    assert execution_status_of((await harmless).outcome) is ExecutionStatus.ANSWERED
    await run_pending_tasks()
    assert node.backend.running == [SECOND.path]
    node.backend.released[SECOND.path].set()
    assert execution_status_of((await suspected).outcome) is ExecutionStatus.ANSWERED


async def test_call_that_becomes_suspected_in_the_queue_does_not_start():
    """Guard against running a request that was reported as a poison request while it was queued."""
    node = new_node()
    node.admission.slots = node.admission.limit = 1
    first, second = start_call(node, FIRST), start_call(node, SECOND)
    await run_pending_tasks()
    report(node, SECOND)
    node.backend.released[FIRST.path].set()
    assert execution_status_of((await first).outcome) is ExecutionStatus.ANSWERED
    async with asyncio.timeout(1):
        assert (await second).outcome.error.reason is Reason.SUSPECT
    assert node.admission.in_flight == 0


async def test_suspected_request_is_not_assigned_to_a_server_that_is_down():
    """Guard against refusing a suspected request although a healthy server could run it."""
    node = new_node()
    report(node, FIRST)
    for down, other in ((LOCAL_NODE, PEER_NODE), (PEER_NODE, LOCAL_NODE)):
        node.admission.backend_available = down != LOCAL_NODE
        node.routing.servers[PEER_NODE].reported_limit = 0 if down == PEER_NODE else 1
        assert assigned_server(node, FIRST) == other


async def test_poison_report_does_not_replace_a_queued_heartbeat():
    """Guard against a dropped heartbeat, which delays the report that a backend server is down."""
    node = new_node()
    service = PeerService(node)
    sender = FrameSender(None, node.clock, node.network, 10)
    service.streams.add(IncomingStream(sender))
    sender.submit(service.heartbeat_frame())
    await service.send_poison_reports((CrashReport("print", frozenset({"a/1"})),))
    assert [frame.WhichOneof("body") for frame in sender.frames] == ["heartbeat", "suspects"]
