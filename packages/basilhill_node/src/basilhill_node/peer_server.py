"""Incoming streams of other nodes, one task for each."""

import asyncio
from contextlib import suppress

from attrs import define, field
from basilhill.budgets import RetryBudget
from basilhill.clocks import SocketDelay
from basilhill.commands.executions import reject_execution
from basilhill.fleet import Heartbeat, VmState
from basilhill.queries.documents import find_call
from basilhill.queries.executions import find_execution
from basilhill.sections import DigestReport, SectionBatch
from basilhill.verdicts import CallReply, Reason, may_have_run, not_run
from expression import Error

from basilhill_node import encoding
from basilhill_node.commands.coordinate_call import coordinate_call, token_refusal
from basilhill_node.commands.dispatch_call import OpenCall
from basilhill_node.commands.exchange_sections import own_report, receive_batch, receive_report
from basilhill_node.commands.execute_call import execute_call
from basilhill_node.commands.leave_fleet import refuse_when_leaving
from basilhill_node.commands.wake_up import check_pause, socket_wait_ms
from basilhill_node.headers import parse_token
from basilhill_node.peers import STREAM_ERRORS, FrameSender, hello_frame
from basilhill_node.state import NodeState
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerBase


@define(eq=False)
class IncomingStream:
    """Hold one incoming stream and the calls that run for it."""

    sender: FrameSender
    peer: str = ""
    calls: dict[int, asyncio.Task] = field(factory=dict)
    delay: SocketDelay = field(factory=SocketDelay)

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; tell whether they left this node."""
        return await self.send_control(wire.Frame(sections=encoding.encode_batch(batch)))

    async def send_report(self, report: DigestReport) -> bool:
        """Send what this node holds; tell whether it left this node."""
        return await self.send_control(wire.Frame(section_digests=encoding.encode_report(report)))

    async def send_control(self, frame: wire.Frame) -> bool:
        """Send a frame that has no reply; tell whether it left this node."""
        try:
            await self.sender.send(frame)
        except STREAM_ERRORS:
            return False
        return True


class PeerService(PeerBase):
    """Serve calls of other nodes."""

    def __init__(self, node: NodeState) -> None:
        self.node = node
        self.streams: set[IncomingStream] = set()

    async def Exchange(self, stream) -> None:  # noqa: N802 - the name of the generated base class
        """Handle the frames of one stream until it ends."""
        incoming = IncomingStream(FrameSender(stream, self.node.clock))
        self.streams.add(incoming)
        try:
            await incoming.sender.send(hello_frame(self.node))
            await incoming.sender.send(self.heartbeat_frame())
            async for batch in stream:
                waited_ms = socket_wait_ms(self.node, incoming.delay, batch.sent_ms)
                for frame in batch.frames:
                    self.receive(incoming, frame, waited_ms)
        finally:
            self.streams.discard(incoming)

    def receive(self, incoming: IncomingStream, frame: wire.Frame, waited_ms: int) -> None:
        """Handle one frame of a stream that waited in sockets for some time."""
        kind = frame.WhichOneof("body")
        if kind == "hello":
            incoming.peer = frame.hello.node
            if not self.node.document.services:
                # A node that restarts while the platform is down learns from those that dial it.
                self.node.spawn(incoming.send_report(own_report(self.node)))
        elif kind == "sections":
            receive_batch(self.node, encoding.decode_batch(frame.sections))
        elif kind == "section_digests":
            report = encoding.decode_report(frame.section_digests)
            self.node.spawn(receive_report(self.node, incoming, incoming.peer, report))
        elif kind == "execute":
            frame.execute.context.remaining_ms -= waited_ms
            self.start(incoming, frame.execute.call_id, self.execute(frame.execute))
        elif kind == "coordinate":
            frame.coordinate.context.remaining_ms -= waited_ms
            self.start(incoming, frame.coordinate.call_id, self.coordinate(frame.coordinate))
        elif kind == "revoke":
            self.start(incoming, frame.revoke.call_id, self.revoke(frame.revoke))
        elif kind == "cancel":
            task = incoming.calls.get(frame.cancel.call_id)
            if task is not None:
                task.cancel()

    def start(self, incoming: IncomingStream, call_id: int, call) -> None:
        """Run a call as a task that replies on its stream."""
        task = self.node.spawn(self.reply(incoming, call_id, call))
        incoming.calls[call_id] = task
        task.add_done_callback(lambda _: incoming.calls.pop(call_id, None))

    async def reply(self, incoming: IncomingStream, call_id: int, call) -> None:
        """Wait for a call and send its reply."""
        with self.node.open_call():
            reply = await call
            try:
                await incoming.sender.send(wire.Frame(reply=encoding.encode_reply(call_id, reply)))
            except STREAM_ERRORS as error:
                self.node.log.record("peer", "", f"lost {incoming.peer}", type(error).__name__)

    async def execute(self, message: wire.Execute) -> CallReply:
        """Run a call on the backend server beside this node."""
        context = encoding.decode_context(message.context, self.node.clock.now_ms())
        request = encoding.decode_request(message.request)
        return await execute_call(self.node, context, message.key or None, request)

    async def coordinate(self, message: wire.Coordinate) -> CallReply:
        """Decide about a copy of a call whose token this node issued."""
        node = self.node
        token = parse_token(message.token)
        if token.is_error():
            return CallReply(Error(token.error))
        refusal = token_refusal(node, token.ok, message.attempt)
        if refusal is not None:
            return CallReply(Error(refusal))
        refusal = refuse_when_leaving(node, token.ok.key)
        if refusal is not None:
            return CallReply(Error(refusal))
        context = encoding.decode_context(message.context, node.clock.now_ms())
        request = encoding.decode_request(message.request)
        policy = find_call(node.document, request.service, request.method, request.path)
        if policy is None:
            return CallReply(Error(not_run(Reason.UNKNOWN_CALL, "unknown at the coordinator")))
        budget = RetryBudget(context.retry_allotment)
        call = OpenCall(context, policy, request, budget, token.ok.key)
        reply = await coordinate_call(node, call)
        return CallReply(reply.outcome, budget.spent, reply.levels)

    async def revoke(self, message: wire.Revoke) -> CallReply:
        """Reject a key that has not started here, or return its outcome."""
        now_ms = self.node.clock.now_ms()
        record = find_execution(self.node.executed, message.key, now_ms)
        if record is None:
            refusal = not_run(Reason.REJECTED, "the call had not reached its executor")
            reject_execution(self.node.executed, message.key, refusal, now_ms)
            return CallReply(Error(refusal))
        if record.outcome is None:
            return CallReply(Error(may_have_run(Reason.CONNECTION_LOST, "the call still runs")))
        return CallReply(record.outcome)

    def heartbeat_frame(self) -> wire.Frame:
        """Return this node's state and load."""
        admission = self.node.admission
        heartbeat = Heartbeat(
            VmState.LEAVING if self.node.leaving else VmState.LIVE,
            admission.level,
            admission.in_flight + len(admission.queue),
            int(admission.limit),
            self.node.table.summary,
        )
        return wire.Frame(heartbeat=encoding.encode_heartbeat(heartbeat))

    async def send_heartbeats(self) -> None:
        """Report state and load to all peers until cancelled."""
        node = self.node
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(node.settings.heartbeat_ms / 1000):
                    await node.state_changed.wait()
            node.state_changed.clear()
            check_pause(node)
            # A peer that reads nothing must not delay the heartbeats of the others.
            node.spawn(self.send_to_all(self.heartbeat_frame()))

    async def send_to_all(self, frame: wire.Frame) -> None:
        """Send a frame on every incoming stream."""
        streams = tuple(self.streams)
        for incoming in streams:
            incoming.sender.drop_heartbeats()
        sends = (incoming.sender.send(frame) for incoming in streams)
        await asyncio.gather(*sends, return_exceptions=True)
