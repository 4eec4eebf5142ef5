"""Frames of the streams between nodes."""

import asyncio
import struct
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager

from attrs import define, field
from basilhill.clocks import Clock
from basilhill.settings import NodeSettings
from google.protobuf.message import DecodeError
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from basilhill_node.network import Network
from basilhill_node.wire import peer_pb2 as wire

PARTITION_POLL_S = 0.05
# A message holds frames of about this size, or one larger frame.
BATCH_BYTES = 1_000_000
# The longest frame carries sections of 1 MB with the older ones that are in force instead.
CONTROL_BYTES = 8_000_000
MESSAGE_PREFIX = struct.Struct(">?I")
# Frames handled in one turn of the event loop, so that a full socket does not stop other streams.
FRAMES_PER_ITERATION = 100
STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)
# What the decoding of a malformed or hostile frame raises.
DECODE_ERRORS = (ArithmeticError, AttributeError, DecodeError, LookupError, TypeError, ValueError)


# What a peer sends is quoted in log lines and errors up to this length.
REASON_CHARS = 200


class MalformedMessageError(Exception):
    """End a stream whose peer sends what no node sends."""


@define(eq=False)
class FrameSender:
    """Send frames over one stream; frames that are ready together go as one message.

    Only the task of `run` writes, so that a cancelled call never leaves half a message behind.
    Above the limit frames are dropped, because the peer takes none; a reply dropped is a lost one.
    """

    stream: object
    clock: Clock
    network: Network
    limit: int
    peer: str = ""
    incarnation: str = ""
    frames: list[wire.Frame] = field(factory=list)
    ready: asyncio.Event = field(factory=asyncio.Event)

    async def run(self) -> None:
        """Write frames until the stream breaks."""
        try:
            while True:
                await self.ready.wait()
                await wait_until_reachable(self.network, self.peer)
                batch = self.pop_batch()
                if not self.frames:
                    self.ready.clear()
                if batch:
                    message = wire.Batch(frames=batch, sent_ms=self.clock.now_ms())
                    await self.stream.send_message(message)
        except STREAM_ERRORS:
            return

    def pop_batch(self) -> list[wire.Frame]:
        """Take the next frames out of the outbox, as many as one message may hold."""
        count = size = 0
        while count < len(self.frames) and size < BATCH_BYTES:
            size += self.frames[count].ByteSize()
            count += 1
        batch, self.frames = self.frames[:count], self.frames[count:]
        return batch

    def submit(self, frame: wire.Frame) -> bool:
        """Put a frame into the outbox; return whether there was room."""
        if len(self.frames) >= self.limit:
            return False
        self.frames.append(frame)
        self.ready.set()
        return True

    def drop_heartbeats(self) -> None:
        """Drop heartbeats that still wait, because a newer one follows."""
        self.frames = [frame for frame in self.frames if not frame.HasField("heartbeat")]

    def withdraw(self, call_id: int) -> bool:
        """Take the frame of a call back; return whether it was still in the outbox."""
        kept = [frame for frame in self.frames if get_call_id(frame) != call_id]
        withdrawn = len(kept) < len(self.frames)
        self.frames = kept
        return withdrawn


def message_limit(settings: NodeSettings) -> int:
    """Return how long a message of a peer may be, in bytes."""
    return CONTROL_BYTES + 2 * settings.body_limit


async def receive_batches(
    stream, limit: int, guard: AbstractContextManager
) -> AsyncIterator[wire.Batch]:
    """Yield the messages of an incoming stream; refuse one that is too long before reading it.

    grpclib reads a message of any length into memory and its API sets no limit, so the length is
    read here from the stream below it. The guard ends a read when the connection is lost.
    """
    source = stream._stream
    while prefix := await read_exactly(source, MESSAGE_PREFIX.size, guard):
        compressed, size = MESSAGE_PREFIX.unpack(prefix)
        if compressed:
            raise MalformedMessageError("a message is compressed")
        if size > limit:
            raise MalformedMessageError(f"a message has {size} bytes, more than {limit}")
        data = await read_exactly(source, size, guard)
        try:
            yield wire.Batch.FromString(data)
        except DecodeError as error:
            raise MalformedMessageError("a message is not of this protocol") from error


async def read_exactly(source, size: int, guard: AbstractContextManager) -> bytes:
    """Return the next bytes of a stream, none at its end."""
    try:
        with guard:
            return await source.recv_data(size)
    except AssertionError as error:
        # grpclib checks by an assertion that a stream does not end within a message.
        raise MalformedMessageError("the stream ended within a message") from error


def get_call_id(frame: wire.Frame) -> int:
    """Return the call id of a frame, 0 for a frame without one."""
    return getattr(getattr(frame, frame.WhichOneof("body")), "call_id", 0)


async def wait_until_reachable(network: Network, peer: str) -> None:
    """Hold messages back while the network does not pass them, as TCP does."""
    while not network.reachable(peer):  # noqa: ASYNC110 - a network offers no event to wait for
        await asyncio.sleep(PARTITION_POLL_S)
