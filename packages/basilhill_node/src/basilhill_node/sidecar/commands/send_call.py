"""Sending of calls to executor nodes and recording of their outcomes."""

from collections.abc import Callable

from attrs import define, field
from basilhill.backends import BackendEntry
from basilhill.clocks import Clock
from basilhill.commands.balancing import (
    find_or_add_target,
    record_call_end,
    record_call_start,
    record_connection_failure,
    record_refusal,
    record_report,
    record_response,
    record_response_time,
    record_route_outcome,
    record_size,
)
from basilhill.commands.levels import record_level
from basilhill.outcomes import ExecutionStatus, Outcome, Reason, may_have_run, not_run
from basilhill.queries.levels import tree_level
from basilhill.queries.ranks import call_rank
from basilhill.queries.slots import reported_calls
from expression import Error

from basilhill_node.sidecar.commands.execute_call import GATEWAY_TIMEOUT, CallExecutor
from basilhill_node.sidecar.commands.spend_retries import RetryBudget
from basilhill_node.sidecar.dialect import Dialect
from basilhill_node.sidecar.frames import Execute
from basilhill_node.sidecar.open_requests import OpenRequest
from basilhill_node.sidecar.peer_streams import LostCall, PeerStreams
from basilhill_node.sidecar.state import OriginState, SidecarSettings

SERVER_ERROR = 500
# Refusals by a backend server itself, which count as arrivals at that server.
SERVER_REFUSALS = (Reason.MISDIRECTED, Reason.SERVER_REFUSED)
# Refusals of an id that the server at the address of its entry does not have: the first one by the
# server, later ones by the node beside it.
NOT_AT_ADDRESS = (Reason.MISDIRECTED, Reason.NO_SERVER)
# Refusals because the entry of the server is stale, which say nothing about free capacity.
STALE_ENTRY = (Reason.LEAVING, *NOT_AT_ADDRESS)
# A server without a free slot is not chosen for this time while other servers have free capacity.
REFUSAL_BACKOFF_MS = 50
# A server that has become too slow for its calls is not chosen for this time.
SLOW_BACKOFF_MS = 1_000
# Time for which a server is not chosen after a refusal because it is leaving or its address now
# belongs to another server. Its entry in the store changes within three heartbeats of 1.5 s.
STALE_ENTRY_MS = 2_000
# Nodes that are contacted for a request to a service without a listed server.
MAX_CONTACTED_NODES = 8


@define(eq=False)
class CallSender:
    """Sender of calls to the local executor or to peer executors."""

    settings: SidecarSettings
    origin: OriginState
    executor: CallExecutor
    peers: PeerStreams
    retries: RetryBudget
    dialect: Dialect
    clock: Clock
    # Called with the id of a server that states that it leaves.
    leaving_stated: Callable[[str], None] = field(default=lambda _id: None)
    # Called with an id that the server at its address refused as not its own.
    refuted: Callable[[str], None] = field(default=lambda _id: None)

    async def send(self, opened: OpenRequest, entry: BackendEntry) -> Outcome:
        """Send a request to one server and record the outcome in the load table."""
        opened.tried.add(entry.server_id)
        now_ms = self.clock.now_ms()
        execute = Execute(
            0,
            entry.server_id,
            opened.metadata.request_id,
            self.settings.service,
            opened.route.name,
            opened.route.idempotent,
            opened.ends_ms - now_ms,
            opened.deadline_ms - now_ms,
            # The wait limit covers the slot queues of all servers that the request is sent to.
            max(
                0, min(opened.wait_limit_ms - (now_ms - opened.arrived_ms), opened.ends_ms - now_ms)
            ),
            call_rank(opened.rank, opened.depth),
            opened.repeated or opened.sends > 0,
            opened.share,
            opened.request.method,
            opened.request.target,
            self.dialect.client_headers(opened.request, opened.identity),
            opened.request.body,
        )
        opened.call = execute
        target = find_or_add_target(self.origin.loads, entry.server_id)
        record_call_start(target)
        try:
            outcome = await self.transmit(entry, execute)
        finally:
            record_call_end(target)
        # The outcome states whether the call ran.
        opened.call = None
        self.record_outcome(opened, entry, outcome, self.clock.now_ms() - now_ms)
        return outcome

    def contact_nodes(self, entries: list[BackendEntry]) -> None:
        """Open streams to the nodes beside the last of the servers, which report lost stores."""
        for entry in entries[-MAX_CONTACTED_NODES:]:
            if entry.address != self.settings.backend_address:
                self.peers.stream(f"{entry.host}:{self.settings.peer_port}").open()

    async def transmit(self, entry: BackendEntry, execute: Execute) -> Outcome:
        """Run a call on the local backend server or on that of a peer."""
        levels, route = self.origin.levels, execute.route
        if entry.address == self.settings.backend_address:
            outcome = await self.executor.execute(execute, is_local=True)
            now_ms = self.clock.now_ms()
            target = find_or_add_target(self.origin.loads, entry.server_id)
            record_report(target, reported_calls(self.executor.state.slots, now_ms), now_ms)
            level = tree_level(levels, route, self.executor.state.level.level, now_ms)
            record_level(levels, route, entry.server_id, level, now_ms)
            return outcome
        stream = self.peers.stream(f"{entry.host}:{self.settings.peer_port}")
        reply = await stream.call(execute)
        if isinstance(reply, LostCall):
            if reply.sent:
                return Error(may_have_run(Reason.CONNECTION_LOST, reply.text))
            return Error(not_run(Reason.UNREACHABLE, reply.text))
        now_ms = self.clock.now_ms()
        target = find_or_add_target(self.origin.loads, entry.server_id)
        record_report(target, reply.running, now_ms)
        record_level(levels, route, entry.server_id, reply.level, now_ms)
        return reply.outcome

    def record_outcome(
        self, opened: OpenRequest, entry: BackendEntry, outcome: Outcome, took_ms: int
    ) -> None:
        """Record an outcome for the load of the server and for the request."""
        target = find_or_add_target(self.origin.loads, entry.server_id)
        now_ms = self.clock.now_ms()
        if outcome.is_ok():
            self.record_reached(opened, entry, refused=False)
            if self.dialect.decode_statement(outcome.ok.headers).leaving:
                # The node beside the server may restart and forget it.
                self.leaving_stated(entry.server_id)
            status = outcome.ok.status
            failed = SERVER_ERROR <= status != GATEWAY_TIMEOUT
            record_response(target, failed)
            record_route_outcome(self.origin.loads, opened.route.name, failed)
            if status < SERVER_ERROR:
                size = len(opened.request.body) + len(outcome.ok.body)
                record_size(self.origin.loads, opened.route.name, size)
                record_response_time(self.origin.loads, target, opened.route.name, took_ms, now_ms)
            return
        reason = outcome.error.reason
        if (
            outcome.error.execution_status is ExecutionStatus.MAY_HAVE_RUN
            or reason in SERVER_REFUSALS
        ):
            self.record_reached(opened, entry, reason is Reason.SERVER_REFUSED)
        elif reason is Reason.TOO_SLOW:
            opened.slow += 1
        elif reason not in STALE_ENTRY:
            opened.refused += 1
        if reason in NOT_AT_ADDRESS:
            self.refuted(entry.server_id)
        if reason in STALE_ENTRY:
            record_refusal(target, now_ms, STALE_ENTRY_MS)
        elif reason is Reason.TOO_SLOW:
            record_refusal(target, now_ms, SLOW_BACKOFF_MS)
        elif reason is Reason.SERVER_REFUSED:
            record_response(target, failed=True)
        elif outcome.error.execution_status is ExecutionStatus.NOT_RUN:
            record_refusal(target, now_ms, REFUSAL_BACKOFF_MS)
        lost = reason in (Reason.CONNECTION_LOST, Reason.UNREACHABLE)
        if lost and record_connection_failure(target, now_ms):
            self.executor.log.record(
                "route",
                "ejected",
                opened.metadata.request_id,
                server=entry.server_id,
                problem=outcome.error.text,
            )

    def record_reached(self, opened: OpenRequest, entry: BackendEntry, refused: bool) -> None:
        """Record that a request reached a backend server, and whether the server refused it."""
        opened.sends += 1
        opened.reached.add(entry.server_id)
        if refused:
            opened.refused_by.add(entry.server_id)
        else:
            opened.refused_by.discard(entry.server_id)
        self.retries.record(opened, refused)
