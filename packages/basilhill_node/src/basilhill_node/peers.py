"""Outgoing streams to other nodes, one task for each peer."""

import asyncio
from contextlib import suppress

from attrs import define, field
from basilhill.calls import CallContext, CallRequest
from basilhill.clocks import Clock, SocketDelay
from basilhill.commands.fleet import (
    end_lease,
    record_heartbeat,
    record_incarnation,
    renew_lease,
)
from basilhill.sections import DigestReport, SectionBatch
from basilhill.tokens import IdempotencyToken
from basilhill.verdicts import CallReply, Reason, may_have_run, not_run
from expression import Error
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from basilhill_node import encoding
from basilhill_node.commands.exchange_sections import receive_batch, receive_report
from basilhill_node.commands.wake_up import socket_wait_ms
from basilhill_node.headers import token_text
from basilhill_node.state import NodeState
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerStub

# A failed connection is tried again after a time that doubles up to this many times the first.
RECONNECT_FACTOR_MAX = 16
# A stream that carried no call is closed after this many digest intervals.
CONTROL_IDLE_DIGESTS = 3

STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


@define(eq=False)
class FrameSender:
    """Send frames over one stream; frames that are ready together go as one message."""

    stream: object
    clock: Clock
    frames: list[wire.Frame] = field(factory=list)
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def send(self, frame: wire.Frame) -> None:
        """Send a frame, alone or with others that wait."""
        self.frames.append(frame)
        async with self.lock:
            if self.frames:
                batch, self.frames = self.frames, []
                message = wire.Batch(frames=batch, sent_ms=self.clock.now_ms())
                await self.stream.send_message(message)

    def drop_heartbeats(self) -> None:
        """Drop heartbeats that still wait, because a newer one follows."""
        self.frames = [frame for frame in self.frames if not frame.HasField("heartbeat")]

    def unsent_calls(self) -> set[int]:
        """Return the ids of calls whose frames never left."""
        bodies = (getattr(frame, frame.WhichOneof("body")) for frame in self.frames)
        return {body.call_id for body in bodies if hasattr(body, "call_id")}


@define(eq=False)
class PeerClient:
    """Hold the stream to one peer and the calls that wait for its replies."""

    node: NodeState
    peer: str
    touched_ms: int = 0
    failures: int = 0
    delay: SocketDelay = field(factory=SocketDelay)
    sender: FrameSender | None = None
    connected: asyncio.Event = field(factory=asyncio.Event)
    wanted: asyncio.Event = field(factory=asyncio.Event)
    pending: dict[int, asyncio.Future] = field(factory=dict)
    next_call_id: int = 0
    used_ms: int = 0

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            await self.hold_stream()
            end_lease(self.node.fleet, self.node.routing, self.peer, self.node.clock.now_ms())
            self.failures += 1
            await self.back_off()

    async def back_off(self) -> None:
        """Wait before the next try, for a shorter time when a call asks for the stream."""
        wait_ms = self.node.settings.reconnect_ms * self.node.random.uniform(0.25, 0.5)
        await asyncio.sleep(wait_ms / 1000)
        factor = min(2**self.failures, RECONNECT_FACTOR_MAX)
        self.wanted.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms * (factor - 1) / 1000):
                await self.wanted.wait()

    async def hold_stream(self) -> None:
        """Open the stream and handle its frames until it breaks."""
        host, port = self.peer.rsplit(":", 1)
        channel = Channel(host, int(port))
        try:
            if not self.node.network.reachable(self.peer):
                raise ConnectionRefusedError(self.peer)
            async with PeerStub(channel).Exchange.open() as stream:
                sender = FrameSender(stream, self.node.clock)
                self.delay = SocketDelay()
                await sender.send(hello_frame(self.node))
                self.sender = sender
                self.connected.set()
                async for batch in stream:
                    await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
                    waited_ms = socket_wait_ms(self.node, self.delay, batch.sent_ms)
                    for frame in batch.frames:
                        self.receive(frame, waited_ms)
        except STREAM_ERRORS as error:
            self.node.log.record("peer", "", f"lost {self.peer}", type(error).__name__)
        finally:
            self.fail_pending()
            channel.close()

    def receive(self, frame: wire.Frame, waited_ms: int) -> None:
        """Handle one frame from the peer that waited in sockets for some time."""
        kind = frame.WhichOneof("body")
        if kind == "reply":
            waiter = self.pending.get(frame.reply.call_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(encoding.decode_reply(frame.reply))
        elif kind == "hello":
            fleet, routing = self.node.fleet, self.node.routing
            if record_incarnation(fleet, routing, self.peer, frame.hello.incarnation):
                self.node.log.record("fleet", "", f"{self.peer} restarted")
        elif kind == "heartbeat":
            self.receive_heartbeat(frame.heartbeat, waited_ms)
        elif kind == "sections":
            receive_batch(self.node, encoding.decode_batch(frame.sections))
        elif kind == "section_digests":
            report = encoding.decode_report(frame.section_digests)
            self.node.spawn(receive_report(self.node, self, self.peer, report))

    def receive_heartbeat(self, message: wire.Heartbeat, waited_ms: int) -> None:
        """Renew the lease of the peer from the time at which it sent the heartbeat."""
        node, heartbeat = self.node, encoding.decode_heartbeat(message)
        self.failures = 0
        sent_ms = node.clock.now_ms() - waited_ms
        lease_ms = node.settings.lease_ms
        record_heartbeat(node.routing, self.peer, heartbeat, sent_ms, lease_ms)
        renew_lease(node.fleet, self.peer, heartbeat.digest, sent_ms, lease_ms)

    def fail_pending(self) -> None:
        """End the calls that got no reply, by whether their frames had left."""
        self.connected.clear()
        unsent = self.sender.unsent_calls() if self.sender else set(self.pending)
        self.sender = None
        for call_id, waiter in self.pending.items():
            if waiter.done():
                continue
            if call_id in unsent:
                outcome = Error(not_run(Reason.UNREACHABLE, f"{self.peer} is not reachable"))
            else:
                outcome = Error(may_have_run(Reason.CONNECTION_LOST, f"{self.peer} went away"))
            waiter.set_result(CallReply(outcome))

    def touch(self) -> None:
        """Keep the stream open for a while."""
        self.touched_ms = self.node.clock.now_ms()

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; tell whether they left this node."""
        return await self.send_control(wire.Frame(sections=encoding.encode_batch(batch)))

    async def send_report(self, report: DigestReport) -> bool:
        """Send what this node holds; tell whether it left this node."""
        return await self.send_control(wire.Frame(section_digests=encoding.encode_report(report)))

    async def send_control(self, frame: wire.Frame) -> bool:
        """Send a frame that has no reply; tell whether it left this node."""
        self.touch()
        try:
            async with asyncio.timeout(self.node.settings.lease_ms / 1000):
                if not self.connected.is_set():
                    async with asyncio.timeout(self.node.settings.reconnect_ms / 1000):
                        await self.connected.wait()
                await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
                if self.sender is None:
                    return False
                await self.sender.send(frame)
                return True
        except (TimeoutError, *STREAM_ERRORS):
            return False

    def idle_at(self, now_ms: int) -> bool:
        """Tell whether nothing used the stream lately; one that carries calls stays longer."""
        settings = self.node.settings
        if self.pending or now_ms - self.touched_ms < CONTROL_IDLE_DIGESTS * settings.digest_ms:
            return False
        return not self.next_call_id or now_ms - self.used_ms >= settings.idle_peer_ms

    async def call(self, frame: wire.Frame, call_id: int, timeout_ms: int) -> CallReply:
        """Send a frame and wait for the reply with its call id."""
        self.used_ms = self.node.clock.now_ms()
        waiter = asyncio.get_running_loop().create_future()
        self.pending[call_id] = waiter
        replied = False
        self.wanted.set()
        try:
            async with asyncio.timeout((timeout_ms + self.node.settings.grace_ms) / 1000):
                if not self.connected.is_set():
                    async with asyncio.timeout(self.node.settings.reconnect_ms / 1000):
                        await self.connected.wait()
                await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
                sender = self.sender
                if sender is None:
                    return unreachable(self.peer)
                await sender.send(frame)
                reply = await waiter
                replied = True
                return reply
        except TimeoutError:
            if self.sender is None:
                return unreachable(self.peer)
            return CallReply(Error(may_have_run(Reason.DEADLINE, f"{self.peer} did not reply")))
        except STREAM_ERRORS:
            return CallReply(Error(may_have_run(Reason.CONNECTION_LOST, f"{self.peer} went away")))
        finally:
            del self.pending[call_id]
            if not replied and self.sender is not None:
                self.node.spawn(self.cancel(call_id))

    async def cancel(self, call_id: int) -> None:
        """Tell the peer that nobody waits for a call any more."""
        sender = self.sender
        if sender is not None:
            try:
                await sender.send(wire.Frame(cancel=wire.Cancel(call_id=call_id)))
            except STREAM_ERRORS:
                return

    def new_call_id(self) -> int:
        """Return the id of the next call on this stream."""
        self.next_call_id += 1
        return self.next_call_id

    async def execute(
        self, context: CallContext, key: str | None, request: CallRequest
    ) -> CallReply:
        """Run a call on the backend server beside the peer."""
        call_id = self.new_call_id()
        now_ms = self.node.clock.now_ms()
        execute = wire.Execute(
            call_id=call_id,
            context=encoding.encode_context(context, now_ms),
            key=key or "",
            request=encoding.encode_request(request),
        )
        return await self.call(wire.Frame(execute=execute), call_id, context.deadline_ms - now_ms)

    async def coordinate(
        self, token: IdempotencyToken, attempt: int, context: CallContext, request: CallRequest
    ) -> CallReply:
        """Let the peer decide about a copy of a call whose token it issued."""
        call_id = self.new_call_id()
        now_ms = self.node.clock.now_ms()
        coordinate = wire.Coordinate(
            call_id=call_id,
            token=token_text(token),
            attempt=attempt,
            context=encoding.encode_context(context, now_ms),
            request=encoding.encode_request(request),
        )
        frame = wire.Frame(coordinate=coordinate)
        return await self.call(frame, call_id, context.deadline_ms - now_ms)

    async def revoke(self, key: str, timeout_ms: int) -> CallReply:
        """Ask the peer to reject a key that has not started, or for its outcome."""
        call_id = self.new_call_id()
        frame = wire.Frame(revoke=wire.Revoke(call_id=call_id, key=key))
        return await self.call(frame, call_id, timeout_ms)


def unreachable(peer: str) -> CallReply:
    """Return the reply to a call that never left this node."""
    return CallReply(Error(not_run(Reason.UNREACHABLE, f"{peer} is not reachable")))


def hello_frame(node: NodeState) -> wire.Frame:
    """Return the frame that opens a stream."""
    settings = node.settings
    hello = wire.Hello(
        node=settings.node,
        incarnation=node.incarnation,
        data_centre=settings.data_centre,
        service=settings.service,
    )
    return wire.Frame(hello=hello)
