"""Outgoing streams to other nodes, one task for each peer."""

import asyncio
from contextlib import suppress

from attrs import define, field
from basilhill.calls import CallContext, CallRequest
from basilhill.commands.fleet import (
    end_lease,
    record_heartbeat,
    record_incarnation,
    renew_lease,
)
from basilhill.sections import DigestReport, SectionBatch
from basilhill.suspects import SuspectReport
from basilhill.tokens import IdempotencyToken
from basilhill.transits import TransitMeter
from basilhill.verdicts import CallReply, Refusal
from expression import Error, Ok, Result
from grpclib.client import Channel

from basilhill_node import encoding
from basilhill_node.commands.exchange_sections import receive_batch, receive_report
from basilhill_node.commands.screen_call import receive_poison_reports
from basilhill_node.commands.wake_up import record_batch_time, socket_wait_ms
from basilhill_node.frames import (
    DECODE_ERRORS,
    REASON_CHARS,
    STREAM_ERRORS,
    FrameSender,
    MalformedMessageError,
    get_call_id,
    message_limit,
    receive_batches,
    wait_until_reachable,
)
from basilhill_node.headers import format_token
from basilhill_node.state import LostReply, NodeState
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerStub

# A failed connection is tried again after a time that doubles up to this many times the first.
RECONNECT_FACTOR_MAX = 16
# A stream that carried no call is closed after this many digest intervals.
CONTROL_IDLE_DIGESTS = 3


@define(eq=False)
class PeerClient:
    """Hold the stream to one peer and the calls that wait for its replies."""

    node: NodeState
    peer: str
    failures: int = 0
    transits: TransitMeter = field(factory=TransitMeter)
    sender: FrameSender | None = None
    connected: asyncio.Event = field(factory=asyncio.Event)
    stream_wanted: asyncio.Event = field(factory=asyncio.Event)
    pending: dict[int, asyncio.Future] = field(factory=dict)
    next_call_id: int = 0
    used_ms: int = 0
    touched_ms: int = 0
    refused: bool = False

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            await self.run_stream()
            end_lease(self.node.fleet, self.node.routing, self.peer, self.node.clock.now_ms())
            self.failures += 1
            await self.back_off()

    async def back_off(self) -> None:
        """Wait before the next try, for a shorter time when a call asks for the stream."""
        wait_ms = self.node.settings.reconnect_ms * self.node.random.uniform(0.25, 0.5)
        await asyncio.sleep(wait_ms / 1000)
        factor = min(2**self.failures, RECONNECT_FACTOR_MAX)
        self.stream_wanted.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms * (factor - 1) / 1000):
                await self.stream_wanted.wait()

    async def run_stream(self) -> None:
        """Open the stream and handle its frames until it breaks."""
        host, port = self.peer.rsplit(":", 1)
        channel = Channel(host, int(port))
        writer = None
        try:
            if not self.node.network.reachable(self.peer):
                raise ConnectionAbortedError(self.peer)
            async with PeerStub(channel).Exchange.open() as stream:
                await stream.send_request()
                limit = self.node.settings.peer_outbox_limit
                sender = FrameSender(stream, self.node.clock, self.node.network, limit, self.peer)
                self.transits = TransitMeter()
                sender.submit(hello_frame(self.node))
                writer = self.node.spawn(sender.run())
                # Without its writer the stream is of no use; closing it ends the reading too.
                writer.add_done_callback(lambda _: channel.close())
                await stream.recv_initial_metadata()
                longest = message_limit(self.node.settings)
                async for batch in receive_batches(stream, longest, stream._wrapper):
                    await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
                    await wait_until_reachable(self.node.network, self.peer)
                    record_batch_time(self.node, self.transits, batch.sent_ms)
                    waited_ms = socket_wait_ms(self.node, self.transits, batch.sent_ms)
                    for frame in batch.frames:
                        self.receive(sender, frame, waited_ms)
        except STREAM_ERRORS as error:
            self.refused = isinstance(error, ConnectionRefusedError)
            self.node.log.record("peer", "", f"lost {self.peer}", type(error).__name__)
        except (*DECODE_ERRORS, MalformedMessageError) as error:
            # The task must go on, or no call would ever reach the peer again.
            reason = f"malformed message: {error!r}"[:REASON_CHARS]
            self.node.log.record("peer", "", f"lost {self.peer}", reason)
        finally:
            if writer is not None:
                writer.cancel()
            self.fail_pending()
            channel.close()

    def receive(self, sender: FrameSender, frame: wire.Frame, waited_ms: int) -> None:
        """Handle one frame from the peer that waited in sockets for some time."""
        kind = frame.WhichOneof("body")
        if kind == "reply":
            waiter = self.pending.get(frame.reply.call_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(Ok(encoding.decode_reply(frame.reply)))
        elif kind == "hello":
            # Calls wait for the peer's Hello: it proves that the peer has seen this node's Hello,
            # and names the incarnation that will run the calls.
            fleet, routing, now_ms = self.node.fleet, self.node.routing, self.node.clock.now_ms()
            if record_incarnation(fleet, routing, self.peer, frame.hello.incarnation, now_ms):
                self.node.log.record("fleet", "", f"{self.peer} restarted")
            sender.incarnation = frame.hello.incarnation
            self.sender = sender
            self.refused = False
            self.connected.set()
        elif kind == "suspects":
            receive_poison_reports(self.node, encoding.decode_suspects(frame.suspects))
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
        sender, self.sender = self.sender, None
        if sender is None:
            return
        unsent = {get_call_id(frame) for frame in sender.frames}
        for call_id, waiter in self.pending.items():
            if not waiter.done():
                waiter.set_result(Error(LostReply(call_id not in unsent, sender.incarnation)))

    def touch(self) -> None:
        """Keep the stream open for a while."""
        self.touched_ms = self.node.clock.now_ms()

    async def send_poison_reports(self, reports: tuple[SuspectReport, ...]) -> None:
        """Tell the peer about requests that may crash servers."""
        frame = wire.Frame(suspects=encoding.encode_suspects(reports))
        if not await self.send_control(frame, self.node.settings.lease_ms):
            self.node.log.record("peer", "", f"{self.peer} not told of suspects")

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; tell whether they are on their way."""
        frame = wire.Frame(sections=encoding.encode_batch(batch))
        return await self.send_control(frame, self.node.settings.reconnect_ms)

    async def send_report(self, report: DigestReport) -> bool:
        """Send what this node holds; tell whether it is on its way."""
        frame = wire.Frame(section_digests=encoding.encode_report(report))
        return await self.send_control(frame, self.node.settings.reconnect_ms)

    async def send_control(self, frame: wire.Frame, connect_ms: int) -> bool:
        """Send a frame that has no reply; tell whether it is on its way."""
        self.touch()
        with suppress(TimeoutError):
            async with asyncio.timeout(connect_ms / 1000):
                await self.connected.wait()
        await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
        return self.sender is not None and self.sender.submit(frame)

    def is_idle(self, now_ms: int) -> bool:
        """Tell whether nothing used the stream lately; one that carries calls stays longer."""
        settings = self.node.settings
        if self.pending or now_ms - self.touched_ms < CONTROL_IDLE_DIGESTS * settings.digest_ms:
            return False
        return not self.next_call_id or now_ms - self.used_ms >= settings.idle_peer_ms

    async def call(
        self, frame: wire.Frame, timeout_ms: int, incarnation: str = ""
    ) -> Result[CallReply, LostReply]:
        """Send a frame and wait for the reply with its call id.

        With an incarnation given, nothing is sent to another one and the loss names that one.
        """
        self.used_ms = self.node.clock.now_ms()
        call_id = get_call_id(frame)
        waiter = asyncio.get_running_loop().create_future()
        sender, done = None, False
        self.stream_wanted.set()
        try:
            async with asyncio.timeout((timeout_ms + self.node.settings.grace_ms) / 1000):
                if not self.connected.is_set():
                    async with asyncio.timeout(self.node.settings.reconnect_ms / 1000):
                        await self.connected.wait()
                await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
                sender = self.sender
                if sender is None:
                    return Error(LostReply(False))
                if incarnation not in ("", sender.incarnation):
                    current, sender = sender.incarnation, None
                    return Error(LostReply(False, current))
                self.pending[call_id] = waiter
                if not sender.submit(frame):
                    sender = None
                    return Error(LostReply(False))
                result = await waiter
                done = True
                return result
        except TimeoutError:
            done = sender is None or sender.withdraw(call_id)
            if done:
                return Error(LostReply(False, refused=self.refused))
            return Error(LostReply(True, sender.incarnation))
        finally:
            self.pending.pop(call_id, None)
            if sender is not None and not done and not sender.withdraw(call_id):
                sender.submit(wire.Frame(cancel=wire.Cancel(call_id=call_id)))

    def new_call_id(self) -> int:
        """Return the id of the next call on this stream."""
        self.next_call_id += 1
        return self.next_call_id

    async def execute(
        self, context: CallContext, key: str | None, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Run a call on the backend server beside the peer."""
        now_ms = self.node.clock.now_ms()
        execute = wire.Execute(
            call_id=self.new_call_id(),
            context=encoding.encode_context(context, now_ms),
            key=key or "",
            request=encoding.encode_request(request),
        )
        return await self.call(wire.Frame(execute=execute), context.deadline_ms - now_ms)

    async def coordinate(
        self, token: IdempotencyToken, attempt: int, context: CallContext, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Let the peer decide about a copy of a call whose token it issued."""
        now_ms = self.node.clock.now_ms()
        coordinate = wire.Coordinate(
            call_id=self.new_call_id(),
            token=format_token(token),
            attempt=attempt,
            context=encoding.encode_context(context, now_ms),
            request=encoding.encode_request(request),
        )
        return await self.call(wire.Frame(coordinate=coordinate), context.deadline_ms - now_ms)

    async def revoke(
        self, key: str, incarnation: str, age_ms: int, timeout_ms: int
    ) -> Result[CallReply, LostReply]:
        """Ask the peer to reject a key that has not started, or for its outcome."""
        revoke = wire.Revoke(
            call_id=self.new_call_id(),
            key=key,
            age_ms=age_ms,
            sent_ms=self.node.clock.now_ms(),
        )
        return await self.call(wire.Frame(revoke=revoke), timeout_ms, incarnation)

    async def reject(
        self, token: IdempotencyToken, attempt: int, refusal: Refusal, timeout_ms: int
    ) -> Result[CallReply, LostReply]:
        """Let the peer reject the key of a token that it issued."""
        reject = wire.Reject(
            call_id=self.new_call_id(),
            token=format_token(token),
            attempt=attempt,
            reason=refusal.reason.value,
            text=refusal.text,
            retry_after_ms=refusal.retry_after_ms,
        )
        return await self.call(wire.Frame(reject=reject), timeout_ms)


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
