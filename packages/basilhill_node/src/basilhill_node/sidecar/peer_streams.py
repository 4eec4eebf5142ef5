"""Streams to the nodes beside other backend servers, opened when a call needs them."""

import asyncio
from itertools import count
from typing import Any

from attrs import define, field, frozen
from basilhill.clocks import Clock

from basilhill_node.sidecar.commands.exchange_news import PeerUpdateExchange
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    Execute,
    FrameKind,
    Reply,
    decode_reply,
    encode_execute,
    encode_frame,
)
from basilhill_node.sidecar.streams import StreamConnection

CONNECT_TIMEOUT_S = 0.5
# A peer with calls in flight is asked for a sign of life this often.
PING_INTERVAL_S = 0.25
# Peers slowed 5 times by the platform still answered within 1 s.
PEER_TIMEOUT_MS = 1_500
# A peer that is silent for this long gets no new calls while another server may take them.
UNRESPONSIVE_MS = 600
# A stream that nothing used for this long is closed, so that streams do not grow with the fleet.
UNUSED_STREAM_MS = 20_000


@frozen
class LostCall:
    """Tell that a call got no reply and whether its frame left this node."""

    sent: bool
    text: str


@define(eq=False)
class PeerStream:
    """Keep one stream to a node and match replies with calls."""

    address: str
    peer_updates: PeerUpdateExchange
    clock: Clock
    log: EventLog
    ids: count = field(factory=lambda: count(1))
    connection: StreamConnection | None = None
    ready: asyncio.Event = field(factory=asyncio.Event)
    waiters: dict[int, asyncio.Future[Reply | LostCall]] = field(factory=dict)
    task: asyncio.Task | None = None
    used_ms: int = 0
    unresponsive: bool = False

    async def call(self, execute: Execute) -> Reply | LostCall:
        """Send a call and wait for its reply; cancelling it cancels the run."""
        self.used_ms = self.clock.now_ms()
        if self.task is None or self.task.done():
            self.ready.clear()
            self.task = asyncio.get_running_loop().create_task(self.run())
        opened_by = self.task
        while not self.ready.is_set():
            if opened_by.done():
                return LostCall(False, f"no connection to {self.address}")
            waiting = asyncio.get_running_loop().create_task(self.ready.wait())
            try:
                await asyncio.wait({waiting, opened_by}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                waiting.cancel()
        connection = self.connection
        if connection is None or self.unresponsive or not connection.can_send():
            return LostCall(False, f"{self.address} is silent or does not read")
        return await self.exchange(connection, execute)

    async def exchange(self, connection: StreamConnection, execute: Execute) -> Reply | LostCall:
        """Send a call on an open stream and wait for its reply."""
        execute.call_id = next(self.ids)
        waiter = asyncio.get_running_loop().create_future()
        if not self.waiters:
            # Nothing was asked of the peer before, so its silence until now means nothing.
            connection.received_ms = self.clock.now_ms()
        self.waiters[execute.call_id] = waiter
        connection.send(encode_execute(execute, connection.sent_headers))
        try:
            return await waiter
        except asyncio.CancelledError:
            connection.send(encode_frame(FrameKind.CANCEL, execute.call_id))
            raise
        finally:
            del self.waiters[execute.call_id]

    async def run(self) -> None:
        """Open the stream and watch over it until it breaks or is idle."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self.connection = await loop.create_connection(
                    lambda: StreamConnection(
                        self.clock, self.handle, self.peer_updates.open, self.record
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            self.record(f"cannot connect: {error!r}")
            return
        connection = self.connection
        self.ready.set()
        try:
            await self.watch(connection)
        finally:
            self.ready.clear()
            self.connection = None
            self.unresponsive = False
            connection.close()
            self.peer_updates.close(connection)
            for waiter in self.waiters.values():
                if not waiter.done():
                    waiter.set_result(LostCall(True, f"lost {self.address}"))

    async def watch(self, connection: StreamConnection) -> None:
        """Ask a silent peer for a sign of life; return when there is none or no use."""
        while True:
            try:
                async with asyncio.timeout(PING_INTERVAL_S):
                    await connection.closed.wait()
                self.record("the stream ended")
                return
            except TimeoutError:
                pass
            now_ms = self.clock.now_ms()
            quiet_ms = now_ms - connection.received_ms
            if not self.waiters:
                if now_ms - self.used_ms > UNUSED_STREAM_MS:
                    return
                continue
            if quiet_ms > PEER_TIMEOUT_MS:
                self.record(f"cut after {quiet_ms} ms of silence")
                return
            if self.unresponsive is not (quiet_ms > UNRESPONSIVE_MS):
                self.unresponsive = not self.unresponsive
                self.record("silent" if self.unresponsive else "heard again")
            if quiet_ms > PING_INTERVAL_S * 1000:
                connection.send(encode_frame(FrameKind.PING))

    def handle(self, connection: StreamConnection, kind: FrameKind, fields: list[Any]) -> None:
        """Handle one frame of the peer."""
        if kind is FrameKind.REPLY:
            reply = decode_reply(fields, connection.received_headers)
            waiter = self.waiters.get(reply.call_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(reply)
        elif kind is not FrameKind.PONG:
            self.peer_updates.receive(connection, kind, fields)

    def record(self, event: str) -> None:
        """Log what became of the stream."""
        self.log.record("peer", event, address=self.address, calls=len(self.waiters))


@define(eq=False)
class PeerStreams:
    """Hold the streams to other nodes by address."""

    peer_updates: PeerUpdateExchange
    clock: Clock
    log: EventLog
    streams: dict[str, PeerStream] = field(factory=dict)

    def stream(self, address: str) -> PeerStream:
        """Return the stream to a node."""
        found = self.streams.get(address)
        if found is None:
            found = PeerStream(address, self.peer_updates, self.clock, self.log)
            self.streams[address] = found
        return found

    def drop_closed(self) -> None:
        """Forget the streams that have ended and that nothing waits for."""
        ended = [
            address
            for address, stream in self.streams.items()
            if stream.task is not None and stream.task.done() and not stream.waiters
        ]
        for address in ended:
            del self.streams[address]

    def close(self) -> None:
        """Close all streams."""
        for stream in self.streams.values():
            if stream.task is not None:
                stream.task.cancel()
