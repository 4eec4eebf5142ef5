"""Framing of the peer streams."""

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
# A message contains frames of about this total size, or one larger frame.
BATCH_BYTES = 1_000_000
# The longest frame carries sections of 1 MB and the older sections that are active in their place.
CONTROL_MESSAGE_MAX_BYTES = 8_000_000
MESSAGE_PREFIX = struct.Struct(">?I")
# Frames handled in one event loop iteration, so that one busy stream does not starve the others.
FRAMES_PER_ITERATION = 100
STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)
# Exceptions that decoding a malformed or hostile frame raises.
DECODE_ERRORS = (ArithmeticError, AttributeError, DecodeError, LookupError, TypeError, ValueError)

# Log lines and errors quote at most this many characters from a peer.
REASON_MAX_CHARS = 200


class MalformedMessageError(Exception):
    """Protocol violation by a peer, after which its stream must be closed."""


@define(eq=False)
class FrameSender:
    """Outbox of one stream, which sends queued frames together as one message.

    Only the task of `run` writes, so a cancelled call never leaves a partial message in the stream.
    If `limit` frames are queued, the peer does not read and further frames are dropped. A dropped
    reply counts as a lost one.
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
        """Write queued frames until the stream fails."""
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
        """Remove the next frames from the outbox, as many as fit into one message."""
        count = size = 0
        while count < len(self.frames) and size < BATCH_BYTES:
            size += self.frames[count].ByteSize()
            count += 1
        batch, self.frames = self.frames[:count], self.frames[count:]
        return batch

    def submit(self, frame: wire.Frame) -> bool:
        """Queue a frame; return False if the outbox is full."""
        if len(self.frames) >= self.limit:
            return False
        self.frames.append(frame)
        self.ready.set()
        return True

    def drop_heartbeats(self) -> None:
        """Drop queued heartbeats before a newer one is queued."""
        self.frames = [frame for frame in self.frames if not frame.HasField("heartbeat")]

    def withdraw(self, call_id: int) -> bool:
        """Remove the frame of a call; return whether it was still queued."""
        kept = [frame for frame in self.frames if get_call_id(frame) != call_id]
        withdrawn = len(kept) < len(self.frames)
        self.frames = kept
        return withdrawn


def message_limit(settings: NodeSettings) -> int:
    """Return the size limit of a message from a peer, in bytes."""
    return CONTROL_MESSAGE_MAX_BYTES + 2 * settings.body_limit


async def receive_batches(
    stream, limit: int, guard: AbstractContextManager
) -> AsyncIterator[wire.Batch]:
    """Yield the messages of an incoming stream; reject one above the size limit before reading it.

    grpclib reads messages of any length into memory and offers no limit, so the length is read here
    from the underlying HTTP/2 stream. The guard ends a read when the connection is lost.
    Raises MalformedMessageError if the peer violates the protocol.
    """
    source = stream._stream
    while prefix := await read_exactly(source, MESSAGE_PREFIX.size, guard):
        compressed, size = MESSAGE_PREFIX.unpack(prefix)
        if compressed:
            raise MalformedMessageError("a message is compressed")
        if size > limit:
            raise MalformedMessageError(
                f"message of {size} bytes exceeds the limit of {limit} bytes"
            )
        data = await read_exactly(source, size, guard)
        try:
            yield wire.Batch.FromString(data)
        except DecodeError as error:
            raise MalformedMessageError("a message is not of this protocol") from error


async def read_exactly(source, size: int, guard: AbstractContextManager) -> bytes:
    """Return the next `size` bytes of a stream; empty at its end."""
    try:
        with guard:
            return await source.recv_data(size)
    except AssertionError as error:
        # grpclib raises AssertionError if a stream ends within a message.
        raise MalformedMessageError("the stream ended within a message") from error


def get_call_id(frame: wire.Frame) -> int:
    """Return the call id of a frame, or 0 if it has none."""
    return getattr(getattr(frame, frame.WhichOneof("body")), "call_id", 0)


async def wait_until_reachable(network: Network, peer: str) -> None:
    """Delay messages while the peer is partitioned, as TCP does."""
    while not network.is_reachable(peer):  # noqa: ASYNC110 - a network offers no event to wait for
        await asyncio.sleep(PARTITION_POLL_S)
