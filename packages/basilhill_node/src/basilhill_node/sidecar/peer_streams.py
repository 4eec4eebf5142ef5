"""Outgoing streams to peer nodes, opened when a call needs one."""

import asyncio
from itertools import count
from typing import Any

from attrs import define, evolve, field, frozen
from basilhill.clocks import Clock
from basilhill.credits import CreditGrant, CreditRequest
from basilhill.memory import SMALL_MESSAGE_BYTES, MessageKind
from expression import Ok

from basilhill_node.sidecar.body_transfers import BODY_KINDS, BodyPlace, BodyTransfers
from basilhill_node.sidecar.commands.exchange_peer_updates import PeerUpdateExchange
from basilhill_node.sidecar.credit_frames import decode_credit_grant, encode_credit_request
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    CREDIT_VERSION,
    PING,
    Execute,
    FrameKind,
    Reply,
    decode_reply,
    encode_execute,
    encode_frame,
)
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.streams import StreamConnection

CONNECT_TIMEOUT_S = 0.5
# Interval at which the streams with calls in flight are checked, and at which a silent peer gets
# PING frames.
CHECK_INTERVAL_S = 0.25
# A stream with calls in flight is closed if no frame is received for this long. Peers slowed 5
# times by the platform still responded within 1 s.
PEER_TIMEOUT_MS = 1_500
# A peer from which no frame is received for this long gets no new calls, so that the origin can
# choose another server.
UNRESPONSIVE_MS = 600
# A stream without calls is closed after this time, so that the number of open streams does not grow
# with the fleet.
UNUSED_STREAM_MS = 20_000


@frozen
class LostCall:
    """Call without a reply; `sent` is whether its frame was sent."""

    sent: bool
    text: str


@define(eq=False)
class PeerStream:
    """Outgoing stream to one node that matches replies with calls."""

    address: str
    peer_updates: PeerUpdateExchange
    clock: Clock
    log: EventLog
    memory: MessageMemory
    # The streams of this node that have calls in flight.
    busy: set["PeerStream"]
    ids: count = field(factory=lambda: count(1))
    connection: StreamConnection | None = None
    transfers: BodyTransfers | None = None
    ready: asyncio.Event = field(factory=asyncio.Event)
    waiters: dict[int, asyncio.Future[Reply | LostCall]] = field(factory=dict)
    credit_waiters: dict[int, asyncio.Future[CreditGrant | None]] = field(factory=dict)
    task: asyncio.Task | None = None
    used_ms: int = 0
    unresponsive: bool = False

    async def call(self, execute: Execute) -> Reply | LostCall:
        """Send a call and wait for its reply; cancellation also cancels the call at the peer."""
        if not await self.connect():
            return LostCall(False, f"no connection to {self.address}")
        connection = self.connection
        if connection is None or self.unresponsive or not connection.can_send():
            return LostCall(False, f"{self.address} is silent or does not read")
        return await self.exchange(connection, execute)

    async def connect(self) -> bool:
        """Open the stream and wait until it is ready; return whether it is."""
        opened_by = self.open()
        while not self.ready.is_set():
            if opened_by.done():
                return False
            waiting = asyncio.get_running_loop().create_task(self.ready.wait())
            try:
                await asyncio.wait({waiting, opened_by}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                waiting.cancel()
        return True

    async def request_credit(self, request: CreditRequest) -> CreditGrant | None:
        """Return the grant of the peer, None if the stream is lost or the peer lends no credit."""
        if not await self.connect():
            return None
        await self.transfers.version_known.wait()
        connection = self.connection
        if connection is None or self.transfers.peer_version < CREDIT_VERSION:
            return None
        number = next(self.ids)
        waiter = self.credit_waiters[number] = asyncio.get_running_loop().create_future()
        try:
            connection.send(encode_credit_request(number, request))
            return await waiter
        finally:
            del self.credit_waiters[number]

    def open(self) -> asyncio.Task:
        """Open the stream unless it is open, and return its task."""
        self.used_ms = self.clock.now_ms()
        if self.task is None or self.task.done():
            self.ready.clear()
            self.task = asyncio.get_running_loop().create_task(self.run())
        return self.task

    async def exchange(self, connection: StreamConnection, execute: Execute) -> Reply | LostCall:
        """Send a call on an open stream and wait for its reply."""
        execute.call_id = next(self.ids)
        transfers = self.transfers
        waiter = asyncio.get_running_loop().create_future()
        if not self.waiters:
            # A peer without calls may send no frames, so the peer timeout starts with the first
            # call.
            connection.received_ms = self.clock.now_ms()
        self.waiters[execute.call_id] = waiter
        self.busy.add(self)
        try:
            place = await self.send_body(transfers, execute)
            if place is BodyPlace.LOST:
                return LostCall(False, f"lost {self.address} before the call was sent")
            execute.dispatched = True
            has_body = place is BodyPlace.IN_FRAME
            connection.send(encode_execute(execute, connection.sent_headers, has_body))
            return await waiter
        except asyncio.CancelledError:
            connection.send(encode_frame(FrameKind.CANCEL, execute.call_id))
            raise
        finally:
            del self.waiters[execute.call_id]
            if execute.call_id in transfers.incoming:
                # After this step, in which the caller counts the response as its own.
                asyncio.get_running_loop().call_soon(transfers.release, execute.call_id)
            if not self.waiters:
                self.busy.discard(self)
                self.unresponsive = False

    async def send_body(self, transfers: BodyTransfers, execute: Execute) -> BodyPlace:
        """Send a large body ahead of its call, and reduce the remaining time of the call."""
        if len(execute.body) <= SMALL_MESSAGE_BYTES:
            return BodyPlace.IN_FRAME
        started_ms = self.clock.now_ms()
        place = await transfers.send(execute.call_id, execute.body)
        took_ms = self.clock.now_ms() - started_ms
        execute.remaining_ms -= took_ms
        execute.deadline_ms -= took_ms
        return place

    def greet(self, connection: StreamConnection) -> None:
        """Send the peer the state of this node and the version of its frames."""
        self.transfers = BodyTransfers(connection, self.memory, MessageKind.RESPONSE)
        self.peer_updates.open(connection)
        connection.send(PING)

    async def run(self) -> None:
        """Open the stream and wait until it is closed."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.connection = await loop.create_connection(
                    lambda: StreamConnection(self.clock, self.handle, self.greet, self.record),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, UnicodeError) as error:
            # A host that is no name is a UnicodeError.
            self.record(f"cannot connect: {error!r}")
            return
        connection = self.connection
        self.ready.set()
        try:
            await connection.closed.wait()
            self.record("stream closed")
        finally:
            self.ready.clear()
            self.connection = None
            self.unresponsive = False
            connection.close()
            self.peer_updates.close(connection)
            self.transfers.close()
            for waiter in self.waiters.values():
                if not waiter.done():
                    waiter.set_result(LostCall(True, f"lost {self.address}"))
            for waiter in self.credit_waiters.values():
                if not waiter.done():
                    waiter.set_result(None)

    def check(self, now_ms: int) -> None:
        """Send PING to a peer with calls in flight that sends no frames; close a lost stream."""
        connection = self.connection
        if connection is None:
            return
        inactive_ms = now_ms - connection.received_ms
        if inactive_ms > PEER_TIMEOUT_MS:
            self.record(f"no frames received for {inactive_ms} ms, closing the stream")
            connection.close()
            return
        if self.unresponsive is not (inactive_ms > UNRESPONSIVE_MS):
            self.unresponsive = not self.unresponsive
            self.record("unresponsive" if self.unresponsive else "responsive again")
        if inactive_ms > CHECK_INTERVAL_S * 1000:
            connection.send(PING)

    def close_if_unused(self, now_ms: int) -> None:
        """Close the stream if it has carried no call for `UNUSED_STREAM_MS`."""
        if self.connection is not None and now_ms - self.used_ms > UNUSED_STREAM_MS:
            self.connection.close()

    def handle(self, connection: StreamConnection, kind: FrameKind, fields: list[Any]) -> None:
        if kind is FrameKind.REPLY:
            reply = decode_reply(fields, connection.received_headers)
            waiter = self.waiters.get(reply.call_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(self.with_body(reply))
        elif kind is FrameKind.CREDIT_GRANT:
            number, *fields = fields
            waiter = self.credit_waiters.get(number)
            if waiter is not None and not waiter.done():
                waiter.set_result(decode_credit_grant(fields))
        elif kind in BODY_KINDS:
            if kind is not FrameKind.BODY_OFFER or fields[0] in self.waiters:
                self.transfers.handle(kind, fields)
        elif kind is FrameKind.PONG:
            self.transfers.learn_version(fields)
        else:
            self.peer_updates.receive(connection, kind, fields)

    def with_body(self, reply: Reply) -> Reply:
        """Return a reply with its body, which may have been sent ahead."""
        if reply.outcome.is_ok() and reply.outcome.ok.body is None:
            reply.outcome = Ok(evolve(reply.outcome.ok, body=self.transfers.take(reply.call_id)))
        return reply

    def record(self, event: str) -> None:
        """Log an event of the stream with the number of calls in flight."""
        self.log.record("peer", event, address=self.address, calls=len(self.waiters))


@define(eq=False)
class PeerStreams:
    """Outgoing streams by the address of the node."""

    peer_updates: PeerUpdateExchange
    clock: Clock
    log: EventLog
    memory: MessageMemory = field(factory=MessageMemory.of_node)
    streams: dict[str, PeerStream] = field(factory=dict)
    busy: set[PeerStream] = field(factory=set)

    def stream(self, address: str) -> PeerStream:
        """Return the stream to a node; it is opened by its first call."""
        found = self.streams.get(address)
        if found is None:
            found = PeerStream(
                address, self.peer_updates, self.clock, self.log, self.memory, self.busy
            )
            self.streams[address] = found
        return found

    def check_busy(self) -> None:
        """Check the streams with calls in flight.

        One timer serves all streams: in a large fleet most streams of a node are unused.
        """
        now_ms = self.clock.now_ms()
        for stream in tuple(self.busy):
            stream.check(now_ms)

    def drop_unused(self) -> None:
        """Close unused streams and drop the closed ones."""
        now_ms = self.clock.now_ms()
        for address, stream in tuple(self.streams.items()):
            if stream.waiters or stream.credit_waiters or stream.task is None:
                continue
            if stream.task.done():
                del self.streams[address]
            else:
                stream.close_if_unused(now_ms)

    def close(self) -> None:
        for stream in self.streams.values():
            if stream.task is not None:
                stream.task.cancel()
