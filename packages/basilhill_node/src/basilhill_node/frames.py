"""Frames of the streams between nodes."""

import asyncio

from attrs import define, field
from basilhill.clocks import Clock
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from basilhill_node.network import Network
from basilhill_node.wire import peer_pb2 as wire

CUT_POLL_S = 0.05
STREAM_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


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
                await until_reachable(self.network, self.peer)
                batch, self.frames = self.frames, []
                self.ready.clear()
                if batch:
                    message = wire.Batch(frames=batch, sent_ms=self.clock.now_ms())
                    await self.stream.send_message(message)
        except STREAM_ERRORS:
            return

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
        kept = [frame for frame in self.frames if call_id_of(frame) != call_id]
        withdrawn = len(kept) < len(self.frames)
        self.frames = kept
        return withdrawn


def call_id_of(frame: wire.Frame) -> int:
    """Return the call id of a frame, 0 for a frame without one."""
    return getattr(getattr(frame, frame.WhichOneof("body")), "call_id", 0)


async def until_reachable(network: Network, peer: str) -> None:
    """Hold messages back while the network does not pass them, as TCP does."""
    while not network.reachable(peer):  # noqa: ASYNC110 - a network offers no event to wait for
        await asyncio.sleep(CUT_POLL_S)
