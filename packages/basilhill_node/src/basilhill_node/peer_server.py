"""Incoming peer streams, one task for each."""

import asyncio
from contextlib import nullcontext, suppress
from functools import partial

from attrs import define, field
from basilhill.calls import CallContext
from basilhill.outcomes import CallReply, Reason, may_have_run, not_run
from basilhill.poison_requests import CrashReport
from basilhill.sections import DigestReport, SectionBatch
from basilhill.transits import TransitMeter
from expression import Error
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from basilhill_node import encoding
from basilhill_node.commands.coordinate_call import coordinate_attempt, refuse_token
from basilhill_node.commands.detect_pauses import check_pause, record_batch_time, socket_wait_ms
from basilhill_node.commands.exchange_sections import build_report, receive_batch, receive_report
from basilhill_node.commands.execute_call import execute_call
from basilhill_node.commands.filter_poison_requests import receive_poison_reports
from basilhill_node.commands.revoke_call import revoke_call
from basilhill_node.frames import (
    DECODE_ERRORS,
    FRAMES_PER_ITERATION,
    REASON_MAX_CHARS,
    FrameSender,
    MalformedMessageError,
    message_limit,
    receive_batches,
    wait_until_reachable,
)
from basilhill_node.headers import parse_token
from basilhill_node.peers import hello_frame
from basilhill_node.queries.loads import build_heartbeat
from basilhill_node.state import NodeState
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerBase

PEER_NAME_MAX_CHARS = 64


@define(eq=False)
class IncomingStream:
    """Incoming stream of one peer and the calls that run for it."""

    sender: FrameSender
    peer: str = ""
    calls: dict[int, asyncio.Task] = field(factory=dict)
    transits: TransitMeter = field(factory=TransitMeter)

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; return whether they were queued for sending."""
        return self.sender.submit(wire.Frame(sections=encoding.encode_batch(batch)))

    async def send_report(self, report: DigestReport) -> bool:
        """Send section digests; return whether they were queued for sending."""
        frame = wire.Frame(section_digests=encoding.encode_report(report))
        return self.sender.submit(frame)


class PeerService(PeerBase):
    """Service that handles the streams of other nodes."""

    def __init__(self, node: NodeState) -> None:
        self.node = node
        self.streams: set[IncomingStream] = set()

    async def Exchange(self, stream) -> None:  # noqa: N802 - the name of the generated base class
        """Handle the frames of one stream until it ends."""
        limit = self.node.settings.peer_outbox_limit
        incoming = IncomingStream(FrameSender(stream, self.node.clock, self.node.network, limit))
        self.streams.add(incoming)
        writer = self.node.spawn(incoming.sender.run())
        writer.add_done_callback(partial(stop_reader, asyncio.current_task()))
        try:
            await self.receive_all(incoming, stream)
        except MalformedMessageError as error:
            peer = incoming.peer[:PEER_NAME_MAX_CHARS] or "an unknown peer"
            self.node.log.record("peer", "", f"closed the stream of {peer}", str(error))
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        finally:
            self.streams.discard(incoming)
            writer.cancel()
            for task in tuple(incoming.calls.values()):
                # The replies cannot be sent. Calls with a key that have started still complete.
                task.cancel()

    async def receive_all(self, incoming: IncomingStream, stream) -> None:
        """Handle the frames of a stream in order until its peer ends it."""
        handled = 0
        longest = message_limit(self.node.settings)
        # No guard is needed: grpclib cancels the task of a handler whose connection is lost.
        async for batch in receive_batches(stream, longest, nullcontext()):
            await wait_until_reachable(self.node.network, incoming.peer)
            record_batch_time(self.node, incoming.transits, batch.sent_ms)
            for frame in batch.frames:
                self.receive_checked(incoming, frame)
                handled += 1
                if handled % FRAMES_PER_ITERATION == 0:
                    await asyncio.sleep(0)
            if not batch.frames:
                await asyncio.sleep(0)

    def receive_checked(self, incoming: IncomingStream, frame: wire.Frame) -> None:
        """Handle one frame; raise MalformedMessageError, which ends the stream, on a bad one."""
        try:
            self.receive(incoming, frame)
        except DECODE_ERRORS as error:
            text = f"{frame.WhichOneof('body')} frame: {type(error).__name__}: {error}"
            raise MalformedMessageError(text[:REASON_MAX_CHARS]) from error

    def receive(self, incoming: IncomingStream, frame: wire.Frame) -> None:
        """Handle one frame of a stream."""
        kind = frame.WhichOneof("body")
        if kind == "hello":
            self.receive_hello(incoming, frame.hello)
        elif kind == "sections":
            receive_batch(self.node, encoding.decode_batch(frame.sections))
        elif kind == "section_digests":
            report = encoding.decode_report(frame.section_digests)
            self.node.spawn(receive_report(self.node, incoming, incoming.peer, report))
        elif kind == "suspects":
            reports = encoding.decode_poison_reports(frame.suspects)
            receive_poison_reports(self.node, reports, from_service=True)
        elif kind in HANDLERS:
            self.start(incoming, getattr(frame, kind), HANDLERS[kind])
        elif kind == "cancel":
            task = incoming.calls.get(frame.cancel.call_id)
            if task is not None:
                task.cancel()

    def receive_hello(self, incoming: IncomingStream, hello: wire.Hello) -> None:
        """Reply to the first frame of a stream with this node's Hello and heartbeat."""
        incoming.peer = incoming.sender.peer = hello.node
        incoming.sender.submit(hello_frame(self.node))
        incoming.sender.submit(self.heartbeat_frame())
        if not self.node.document.services:
            # A node that restarts while the platform is down gets sections from connecting peers.
            self.node.spawn(incoming.send_report(build_report(self.node)))

    def excess_ms(self, incoming: IncomingStream, sent_ms: int) -> int:
        """Return the transit time of a message beyond the usual one, in ms, as after a pause."""
        if self.node.is_disabled("deadline-check"):
            return 0
        return socket_wait_ms(self.node, incoming.transits, sent_ms)

    def start(self, incoming: IncomingStream, message, handler) -> None:
        """Run the handler of a call as a task that replies on its stream."""
        call_id = message.call_id
        if call_id in incoming.calls:
            # A second task with the same id would not be cancelled with the stream.
            raise MalformedMessageError(f"call id {call_id} is in use")
        task = self.node.spawn(self.reply(incoming, message, handler))
        incoming.calls[call_id] = task
        task.add_done_callback(lambda _: incoming.calls.pop(call_id, None))

    async def reply(self, incoming: IncomingStream, message, handler) -> None:
        """Run the handler of a call and send its reply."""
        with self.node.open_call():
            try:
                reply = await handler(self, incoming, message)
            except Exception as error:
                reply = self.error_reply(incoming, message, error)
            frame = wire.Frame(reply=encoding.encode_reply(message.call_id, reply))
            if not incoming.sender.submit(frame):
                self.node.log.record(
                    "peer",
                    "",
                    f"reply dropped, outbox is full because {incoming.peer} does not read",
                )

    def error_reply(self, incoming: IncomingStream, message, error: Exception) -> CallReply:
        """Return the reply to a call whose handler raised, on a malformed frame or a fault here."""
        choice = f"{type(message).__name__} of {incoming.peer[:PEER_NAME_MAX_CHARS]} failed"
        self.node.log.record("peer", "", choice, repr(error)[:REASON_MAX_CHARS])
        # An earlier attempt may have run, or this one may have run before the fault.
        refusal = may_have_run(
            Reason.INTERNAL, f"the node could not handle it: {error!r}"[:REASON_MAX_CHARS]
        )
        return CallReply(Error(refusal))

    async def execute(self, incoming: IncomingStream, message: wire.Execute) -> CallReply:
        """Run a call on the local backend server."""
        excess_ms = self.excess_ms(incoming, message.context.sent_ms)
        if excess_ms >= self.node.settings.executor_lifetime_ms // 2:
            # A tombstone of its key may already have expired.
            return CallReply(Error(not_run(Reason.DEADLINE, "the call came too late")))
        request = encoding.decode_request(message.request)
        context = self.decode_context(message.context, excess_ms)
        return await execute_call(self.node, context, message.key or None, request)

    def decode_context(self, message: wire.Context, excess_ms: int) -> CallContext:
        """Return the context of a call; the excess transit time is subtracted from its deadline."""
        now_ms = self.node.clock.now_ms()
        return encoding.decode_context(message, now_ms - excess_ms)

    async def coordinate(self, incoming: IncomingStream, message: wire.Coordinate) -> CallReply:
        """Coordinate an attempt of a call whose token this node issued."""
        token = parse_token(message.token)
        if token.is_error():
            return CallReply(Error(token.error))
        excess_ms = self.excess_ms(incoming, message.context.sent_ms)
        context = self.decode_context(message.context, excess_ms)
        request = encoding.decode_request(message.request)
        return await coordinate_attempt(self.node, token.ok, message.attempt, context, request)

    async def reject(self, incoming: IncomingStream, message: wire.Reject) -> CallReply:
        """Reject the key of a token that this node issued, for a peer that refuses an attempt."""
        token = parse_token(message.token)
        if token.is_error():
            return CallReply(Error(token.error))
        refusal = not_run(Reason(message.reason), message.text, message.retry_after_ms)
        return refuse_token(self.node, token.ok, message.attempt, refusal)

    async def revoke(self, incoming: IncomingStream, message: wire.Revoke) -> CallReply:
        """Reject a key whose call has not started here, else return its outcome."""
        age_ms = message.age_ms + self.excess_ms(incoming, message.sent_ms)
        return await revoke_call(self.node, message.key, age_ms)

    def heartbeat_frame(self) -> wire.Frame:
        """Return a heartbeat with this node's state and load."""
        return wire.Frame(heartbeat=encoding.encode_heartbeat(build_heartbeat(self.node)))

    async def send_heartbeats(self) -> None:
        """Send heartbeats at intervals and immediately after a change, until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.node.settings.heartbeat_ms / 1000):
                    await self.node.state_changed.wait()
            self.node.state_changed.clear()
            check_pause(self.node)
            frame = self.heartbeat_frame()
            for incoming in tuple(self.streams):
                incoming.sender.drop_heartbeats()
                incoming.sender.submit(frame)

    async def send_poison_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Send all connected peers reports of requests that may crash backend servers."""
        frame = wire.Frame(suspects=encoding.encode_poison_reports(reports))
        for incoming in tuple(self.streams):
            incoming.sender.submit(frame)


def stop_reader(reader: asyncio.Task, writer: asyncio.Task) -> None:
    """Cancel the reader of a stream whose writer failed, so that the peer opens a new stream."""
    if not writer.cancelled():
        reader.cancel()


HANDLERS = {
    "execute": PeerService.execute,
    "coordinate": PeerService.coordinate,
    "revoke": PeerService.revoke,
    "reject": PeerService.reject,
}
