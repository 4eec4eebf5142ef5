"""Outgoing peer streams, one task for each peer."""

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
from basilhill.outcomes import CallReply, Refusal
from basilhill.poison_requests import CrashReport
from basilhill.sections import DigestReport, SectionBatch
from basilhill.tokens import IdempotencyToken
from basilhill.transits import TransitMeter
from expression import Error, Ok, Result
from grpclib.client import Channel

from basilhill_node import encoding
from basilhill_node.commands.detect_pauses import record_batch_time, socket_wait_ms
from basilhill_node.commands.exchange_sections import receive_batch, receive_report
from basilhill_node.commands.filter_poison_requests import receive_poison_reports
from basilhill_node.frames import (
    DECODE_ERRORS,
    REASON_MAX_CHARS,
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

# The delay before reconnecting doubles up to this multiple of the initial delay.
RECONNECT_FACTOR_MAX = 16
# A stream that carried no call is closed after this many digest intervals without use.
CONTROL_IDLE_DIGESTS = 3


@define(eq=False)
class PeerClient:
    """Outgoing stream to one peer, with the calls that wait for replies."""

    node: NodeState
    peer: str
    failures: int = 0
    transits: TransitMeter = field(factory=TransitMeter)
    sender: FrameSender | None = None
    connected: asyncio.Event = field(factory=asyncio.Event)
    stream_wanted: asyncio.Event = field(factory=asyncio.Event)
    pending: dict[int, asyncio.Future] = field(factory=dict)
    next_call_id: int = 0
    last_call_ms: int = 0
    last_touch_ms: int = 0
    refused: bool = False

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            await self.run_stream()
            end_lease(self.node.fleet, self.node.routing, self.peer, self.node.clock.now_ms())
            self.failures += 1
            await self.back_off()

    async def back_off(self) -> None:
        """Wait before reconnecting; end the wait early if a call needs the stream."""
        wait_ms = self.node.settings.reconnect_ms * self.node.random.uniform(0.25, 0.5)
        await asyncio.sleep(wait_ms / 1000)
        factor = min(2**self.failures, RECONNECT_FACTOR_MAX)
        self.stream_wanted.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms * (factor - 1) / 1000):
                await self.stream_wanted.wait()

    async def run_stream(self) -> None:
        """Open the stream and handle its frames until it fails."""
        host, port = self.peer.rsplit(":", 1)
        channel = Channel(host, int(port))
        writer = None
        try:
            if not self.node.network.is_reachable(self.peer):
                raise ConnectionAbortedError(self.peer)
            async with PeerStub(channel).Exchange.open() as stream:
                await stream.send_request()
                limit = self.node.settings.peer_outbox_limit
                sender = FrameSender(stream, self.node.clock, self.node.network, limit, self.peer)
                self.transits = TransitMeter()
                sender.submit(hello_frame(self.node))
                writer = self.node.spawn(sender.run())
                # A stream whose writer has failed is unusable; closing it also ends the reader.
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
            self.node.log.record(
                "peer", "", f"stream to {self.peer} failed, reconnecting", type(error).__name__
            )
        except (*DECODE_ERRORS, MalformedMessageError) as error:
            # The task must continue, else the stream is never reopened and all later calls fail.
            reason = f"malformed message: {error!r}"[:REASON_MAX_CHARS]
            self.node.log.record(
                "peer", "", f"closed the stream to {self.peer}, reconnecting", reason
            )
        finally:
            if writer is not None:
                writer.cancel()
            self.fail_pending()
            channel.close()

    def receive(self, sender: FrameSender, frame: wire.Frame, waited_ms: int) -> None:
        """Handle one frame from the peer, which waited `waited_ms` in sockets."""
        kind = frame.WhichOneof("body")
        if kind == "reply":
            waiter = self.pending.get(frame.reply.call_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(Ok(encoding.decode_reply(frame.reply)))
        elif kind == "hello":
            # Calls wait for the peer's Hello, which proves that the peer has received this node's
            # Hello and names the incarnation that will run the calls.
            fleet, routing, now_ms = self.node.fleet, self.node.routing, self.node.clock.now_ms()
            if record_incarnation(fleet, routing, self.peer, frame.hello.incarnation, now_ms):
                self.node.log.record("fleet", "", f"{self.peer} restarted")
            sender.incarnation = frame.hello.incarnation
            self.sender = sender
            self.refused = False
            self.connected.set()
        elif kind == "suspects":
            receive_poison_reports(self.node, encoding.decode_poison_reports(frame.suspects))
        elif kind == "heartbeat":
            self.receive_heartbeat(frame.heartbeat, waited_ms)
        elif kind == "sections":
            receive_batch(self.node, encoding.decode_batch(frame.sections))
        elif kind == "section_digests":
            report = encoding.decode_report(frame.section_digests)
            self.node.spawn(receive_report(self.node, self, self.peer, report))

    def receive_heartbeat(self, message: wire.Heartbeat, waited_ms: int) -> None:
        """Renew the lease of the peer as of the time at which it sent the heartbeat."""
        node, heartbeat = self.node, encoding.decode_heartbeat(message)
        self.failures = 0
        sent_ms = node.clock.now_ms() - waited_ms
        lease_ms = node.settings.lease_ms
        record_heartbeat(node.routing, self.peer, heartbeat, sent_ms, lease_ms)
        renew_lease(node.fleet, self.peer, heartbeat.digest, sent_ms, lease_ms)

    def fail_pending(self) -> None:
        """Fail the pending calls, each with whether its frame was sent."""
        self.connected.clear()
        sender, self.sender = self.sender, None
        if sender is None:
            return
        unsent = {get_call_id(frame) for frame in sender.frames}
        for call_id, waiter in self.pending.items():
            if not waiter.done():
                waiter.set_result(Error(LostReply(call_id not in unsent, sender.incarnation)))

    def touch(self) -> None:
        """Reset the idle timeout of the stream."""
        self.last_touch_ms = self.node.clock.now_ms()

    async def send_poison_reports(self, reports: tuple[CrashReport, ...]) -> None:
        """Send the peer reports of requests that may crash backend servers."""
        frame = wire.Frame(suspects=encoding.encode_poison_reports(reports))
        if not await self.send_control(frame, self.node.settings.lease_ms):
            self.node.log.record(
                "peer",
                "",
                f"poison request reports to {self.peer} dropped: no stream or full outbox",
            )

    async def send_batch(self, batch: SectionBatch) -> bool:
        """Send sections; return whether they were queued for sending."""
        frame = wire.Frame(sections=encoding.encode_batch(batch))
        return await self.send_control(frame, self.node.settings.reconnect_ms)

    async def send_report(self, report: DigestReport) -> bool:
        """Send section digests; return whether they were queued for sending."""
        frame = wire.Frame(section_digests=encoding.encode_report(report))
        return await self.send_control(frame, self.node.settings.reconnect_ms)

    async def send_control(self, frame: wire.Frame, connect_ms: int) -> bool:
        """Send a frame without a reply; return whether it was queued for sending."""
        self.touch()
        with suppress(TimeoutError):
            async with asyncio.timeout(connect_ms / 1000):
                await self.connected.wait()
        await asyncio.sleep(self.node.network.delay_ms(self.peer) / 1000)
        return self.sender is not None and self.sender.submit(frame)

    def is_idle(self, now_ms: int) -> bool:
        """Return whether the stream can be closed.

        The idle timeout is `CONTROL_IDLE_DIGESTS` digest intervals, and after a call also
        `idle_peer_ms`.
        """
        settings = self.node.settings
        if self.pending or now_ms - self.last_touch_ms < CONTROL_IDLE_DIGESTS * settings.digest_ms:
            return False
        return not self.next_call_id or now_ms - self.last_call_ms >= settings.idle_peer_ms

    async def call(
        self, frame: wire.Frame, timeout_ms: int, incarnation: str = ""
    ) -> Result[CallReply, LostReply]:
        """Send a frame and wait for the reply with its call id.

        If `incarnation` is given and the peer now has another one, nothing is sent and the error
        names the current incarnation.
        """
        self.last_call_ms = self.node.clock.now_ms()
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
        """Return the next unused call id of this peer."""
        self.next_call_id += 1
        return self.next_call_id

    async def execute(
        self, context: CallContext, key: str | None, request: CallRequest
    ) -> Result[CallReply, LostReply]:
        """Run a call on the peer's backend server."""
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
        """Send an attempt of a call to the peer that issued its token."""
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
        """Request the peer to reject a key, or the outcome of the call if it has started."""
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
        """Request the peer to reject the key of a token that it issued."""
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
    """Return the Hello frame, the first frame of a stream."""
    settings = node.settings
    hello = wire.Hello(
        node=settings.node,
        incarnation=node.incarnation,
        data_centre=settings.data_centre,
        service=settings.service,
    )
    return wire.Frame(hello=hello)
