"""Large bodies on the streams between nodes, which wait at their sender until they are granted.

The receiver cannot pause a stream: a silent stream is closed, and it carries other calls.
"""

import asyncio
from enum import Enum
from typing import Any

from attrs import define, field
from basilhill.memory import HeldMessage, MessageKind

from basilhill_node.sidecar.frames import (
    MAX_FRAME_BYTES,
    FrameKind,
    MalformedFrameError,
    encode_frame,
)
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.streams import StreamConnection

PART_BYTES = 64 << 10
# Limit of the bytes of bodies that were sent on a stream and not yet received. Frames of other
# calls wait for at most these.
WINDOW_BYTES = 256 << 10
BODY_KINDS = frozenset(
    (FrameKind.BODY_OFFER, FrameKind.BODY_GRANT, FrameKind.BODY_PART, FrameKind.BODY_RECEIVED)
)


class BodyPlace(Enum):
    """Where the body of a call or reply travels."""

    IN_FRAME = "in its frame"
    SENT_AHEAD = "ahead of its frame"
    LOST = "lost with the stream"


@define(eq=False)
class IncomingBody:
    """Body that a peer has offered, and sends in parts once it is granted."""

    connection: StreamConnection
    call_id: int
    size: int
    message: HeldMessage
    body: bytearray = field(factory=bytearray)
    granted: bool = False

    def update_reading(self) -> None:
        """Grant the body."""
        self.granted = True
        self.connection.send(encode_frame(FrameKind.BODY_GRANT, self.call_id))

    def abandon(self) -> None:
        """Keep waiting: a body that is not granted takes no memory."""

    def add(self, part: bytes) -> None:
        """Add a part; raise MalformedFrameError if it was not granted."""
        if not self.granted or len(self.body) + len(part) > self.size:
            raise MalformedFrameError(f"part of a body of {self.size} bytes was not granted")
        # A buffer of the whole size would be filled with zeros in one step, while calls wait.
        self.body += part

    @property
    def is_complete(self) -> bool:
        """Return whether all bytes were received."""
        return len(self.body) == self.size


@define(eq=False)
class OutgoingBody:
    """Body that waits for its grant or is being sent."""

    unsent_bytes: int
    granted: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class BodyTransfers:
    """Large bodies by call id in both directions of one stream."""

    connection: StreamConnection
    memory: MessageMemory
    # Kind of the messages that this side receives.
    received_kind: MessageKind
    incoming: dict[int, IncomingBody] = field(factory=dict)
    outgoing: dict[int, OutgoingBody] = field(factory=dict)
    # Bytes of parts that the peer has not received yet.
    window_used: int = 0
    window_freed: asyncio.Event = field(factory=asyncio.Event)
    peer_version: int = 0
    # Set once the version of the peer is known.
    version_known: asyncio.Event = field(factory=asyncio.Event)

    def learn_version(self, fields: list[Any]) -> None:
        """Record the version of the frames of the peer, from the fields of a PING or PONG."""
        self.peer_version = fields[0] if fields else 0
        self.version_known.set()

    async def send(self, call_id: int, body: bytes | bytearray) -> BodyPlace:
        """Send a large body ahead of its frame, once the peer has granted it."""
        await self.version_known.wait()
        if self.connection.closed.is_set():
            return BodyPlace.LOST
        if self.peer_version < 1:
            return BodyPlace.IN_FRAME
        outgoing = self.outgoing[call_id] = OutgoingBody(len(body))
        try:
            self.connection.send(encode_frame(FrameKind.BODY_OFFER, call_id, len(body)))
            await outgoing.granted.wait()
            await self.send_parts(call_id, outgoing, body)
        finally:
            del self.outgoing[call_id]
        return BodyPlace.LOST if self.connection.closed.is_set() else BodyPlace.SENT_AHEAD

    async def send_parts(
        self, call_id: int, outgoing: OutgoingBody, body: bytes | bytearray
    ) -> None:
        """Send the parts of a granted body, in turn with those of others, until the stream ends."""
        content = memoryview(body)
        for start in range(0, len(body), PART_BYTES):
            while self.window_used >= WINDOW_BYTES and not self.connection.closed.is_set():
                self.window_freed.clear()
                await self.window_freed.wait()
            if self.connection.closed.is_set():
                return
            part = content[start : start + PART_BYTES]
            self.window_used += len(part)
            outgoing.unsent_bytes -= len(part)
            self.connection.send(encode_frame(FrameKind.BODY_PART, call_id, part))
            # Lets the other bodies and calls of the stream send.
            await asyncio.sleep(0)

    def handle(self, kind: FrameKind, fields: list[Any]) -> None:
        """Handle one frame of a body; raise MalformedFrameError if it is out of order.

        The bodies of calls that have ended are unknown, and their frames are dropped.
        """
        if kind is FrameKind.BODY_PART:
            call_id, part = fields
            self.connection.send(encode_frame(FrameKind.BODY_RECEIVED, len(part)))
            self.receive_part(call_id, part)
        elif kind is FrameKind.BODY_RECEIVED:
            self.window_used -= fields[0]
            self.window_freed.set()
        elif kind is FrameKind.BODY_GRANT:
            outgoing = self.outgoing.get(fields[0])
            if outgoing is not None:
                outgoing.granted.set()
        else:
            self.receive_offer(*fields)

    def receive_offer(self, call_id: int, size: int) -> None:
        """Record an offered body, which is granted once the account of memory has room."""
        if call_id in self.incoming or not 0 < size <= MAX_FRAME_BYTES:
            raise MalformedFrameError(f"offer of {size} bytes for call {call_id}")
        body = IncomingBody(self.connection, call_id, size, HeldMessage(self.received_kind))
        self.incoming[call_id] = body
        self.memory.announce(body.message, size, body)

    def receive_part(self, call_id: int, part: bytes) -> None:
        incoming = self.incoming.get(call_id)
        if incoming is None:
            return
        incoming.add(part)
        if incoming.is_complete:
            self.memory.hold(incoming.message, incoming.size)

    def take(self, call_id: int) -> bytearray:
        """Return a complete body, which stays in the account until `release`.

        Raise MalformedFrameError if it is not complete.
        """
        incoming = self.incoming.get(call_id)
        if incoming is None or not incoming.is_complete:
            raise MalformedFrameError(f"the body of call {call_id} is not complete")
        body, incoming.body = incoming.body, bytearray()
        return body

    def release(self, call_id: int) -> None:
        """Remove the body of a call, if it has one, from the account of memory."""
        incoming = self.incoming.pop(call_id, None)
        if incoming is not None:
            self.memory.release(incoming.message)

    def unsent_bytes(self) -> int:
        """Return the bytes of bodies that wait for their grant or are being sent."""
        return sum(body.unsent_bytes for body in self.outgoing.values())

    def close(self) -> None:
        """Release all bodies, and end the tasks that send some, after the stream was closed."""
        for call_id in tuple(self.incoming):
            self.release(call_id)
        for outgoing in self.outgoing.values():
            outgoing.granted.set()
        self.window_freed.set()
        self.version_known.set()
