"""Tests of large bodies between nodes: grants, turns, old peers, and lost streams."""

import asyncio
from collections import deque

import pytest
from attrs import define, field
from basilhill.clocks import SystemClock
from basilhill.memory import HeldMessage, MemoryAccount, MessageKind
from basilhill.outcomes import Answer
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.sidecar.body_transfers import (
    PART_BYTES,
    WINDOW_BYTES,
    BodyPlace,
    BodyTransfers,
)
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    FRAMES_VERSION,
    Execute,
    FrameKind,
    FrameReader,
    HeaderTable,
    MalformedFrameError,
    Reply,
    encode_frame,
    encode_reply,
)
from basilhill_node.sidecar.memory import MessageMemory
from basilhill_node.sidecar.peer_streams import LostCall, PeerStreams
from expression import Ok

LARGE_BYTES = 10 * PART_BYTES
BODY = bytes(range(256)) * (LARGE_BYTES // 256)


@define(eq=False)
class LinkedConnection:
    """Connection that delivers frames to the other side in order, in a later step."""

    frames: deque = field(factory=deque)
    kinds: list[FrameKind] = field(factory=list)
    # Call ids of the parts in the order of sending, and the most bytes of parts on their way.
    parts: list[int] = field(factory=list)
    most_bytes_ahead: int = 0
    part_sent: asyncio.Event = field(factory=asyncio.Event)
    other: BodyTransfers | None = None
    closed: asyncio.Event = field(factory=asyncio.Event)

    def send(self, data: bytes) -> None:
        """Deliver the frame in a later step."""
        self.frames += FrameReader().feed(data)
        kind, fields = self.frames[-1]
        self.kinds.append(kind)
        if kind is FrameKind.BODY_PART:
            self.parts.append(fields[0])
            self.part_sent.set()
        on_way = [fields[1] for kind, fields in self.frames if kind is FrameKind.BODY_PART]
        self.most_bytes_ahead = max(self.most_bytes_ahead, sum(map(len, on_way)))
        asyncio.get_running_loop().call_soon(self.deliver)

    def deliver(self) -> None:
        """Deliver the oldest frame."""
        self.other.handle(*self.frames.popleft())


def new_pair(limit_bytes: int = 1 << 30) -> tuple[BodyTransfers, BodyTransfers]:
    """Return the two sides of a stream; the second one has an account of a limited size."""
    memories = MessageMemory.of_node(), MessageMemory(MemoryAccount(limit_bytes))
    sides = [BodyTransfers(LinkedConnection(), one, MessageKind.REQUEST) for one in memories]
    for side, other in zip(sides, reversed(sides), strict=True):
        side.connection.other = other
        side.learn_version([FRAMES_VERSION])
    return tuple(sides)


async def test_body_waits_for_its_grant_and_is_held_until_its_release():
    """Guard against bodies that are sent although the receiver has no room."""
    sender, receiver = new_pair(LARGE_BYTES)
    account = receiver.memory.account
    other = HeldMessage(MessageKind.RESPONSE)
    receiver.memory.hold(other, 2 * LARGE_BYTES)
    sending = asyncio.create_task(sender.send(1, BODY))
    await asyncio.sleep(0.01)
    assert sender.connection.kinds == [FrameKind.BODY_OFFER]
    assert sender.unsent_bytes() == LARGE_BYTES
    receiver.memory.release(other)
    assert account.held_bytes == LARGE_BYTES
    assert await sending is BodyPlace.SENT_AHEAD
    await asyncio.sleep(0.01)
    assert receiver.take(1) == BODY
    assert account.held_bytes == LARGE_BYTES
    receiver.release(1)
    assert account.held_bytes == 0 and account.reading == set()
    assert receiver.incoming == {} and sender.outgoing == {} and sender.window_used == 0


async def test_bodies_take_turns_and_leave_room_for_other_frames():
    """Guard against frames of other calls that wait for whole bodies."""
    sender, receiver = new_pair()
    connection = sender.connection
    places = await asyncio.gather(*(sender.send(number, BODY) for number in range(5)))
    await asyncio.sleep(0.01)
    assert places == [BodyPlace.SENT_AHEAD] * 5
    assert [receiver.take(number) for number in range(5)] == [BODY] * 5
    assert 0 < connection.most_bytes_ahead <= WINDOW_BYTES
    # No body is more than a turn ahead of the others.
    for end in range(1, len(connection.parts)):
        counts = [connection.parts[:end].count(number) for number in range(5)]
        assert max(counts) - min(counts) <= 2


async def test_body_goes_in_its_frame_to_a_peer_of_the_old_version():
    """Guard against frames of an unknown kind, for which an old node closes the stream."""
    sender, _ = new_pair()
    sender.learn_version([])
    assert await sender.send(1, BODY) is BodyPlace.IN_FRAME
    assert sender.connection.kinds == []


async def test_unfinished_bodies_end_with_the_stream():
    """Guard against tasks that wait for a closed stream, and against memory that stays charged."""
    sender, receiver = new_pair(LARGE_BYTES)
    receiver.memory.hold(HeldMessage(MessageKind.RESPONSE), 2 * LARGE_BYTES)
    sending = asyncio.create_task(sender.send(1, BODY))
    await asyncio.sleep(0.01)
    for side in (sender, receiver):
        side.connection.closed.set()
        side.close()
    assert await sending is BodyPlace.LOST
    assert receiver.memory.account.reading == set() and receiver.memory.readers == {}


async def test_cancelled_body_leaves_the_stream_usable():
    """Guard against bytes of a cancelled body that use up the window."""
    sender, receiver = new_pair()
    sending = asyncio.create_task(sender.send(1, BODY))
    async with asyncio.timeout(1):
        await sender.connection.part_sent.wait()
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    receiver.release(1)
    assert await sender.send(2, BODY) is BodyPlace.SENT_AHEAD
    await asyncio.sleep(0.01)
    assert sender.window_used == 0 and receiver.take(2) == BODY


MALFORMED = {
    "part without a grant": [(FrameKind.BODY_OFFER, 1, 9), (FrameKind.BODY_PART, 1, b"x")],
    "more than was offered": [(FrameKind.BODY_OFFER, 1, 1), (FrameKind.BODY_PART, 1, b"xx")],
    "offered twice": [(FrameKind.BODY_OFFER, 1, 9), (FrameKind.BODY_OFFER, 1, 9)],
    "too large": [(FrameKind.BODY_OFFER, 1, 1 << 40)],
    "negative": [(FrameKind.BODY_OFFER, 1, -1)],
}


@pytest.mark.parametrize("case", MALFORMED)
async def test_malformed_transfers_are_rejected(case):
    """Guard against a peer that takes more memory than it was granted."""
    _, receiver = new_pair(LARGE_BYTES)
    if case == "part without a grant":
        receiver.memory.hold(HeldMessage(MessageKind.RESPONSE), 2 * LARGE_BYTES)
    with pytest.raises(MalformedFrameError):
        for kind, *fields in MALFORMED[case]:
            receiver.handle(kind, fields)


def test_incomplete_body_cannot_be_taken():
    """Guard against a call that runs with a part of its body."""
    receiver = BodyTransfers(None, MessageMemory.of_node(), MessageKind.REQUEST)
    with pytest.raises(MalformedFrameError):
        receiver.take(1)


class NoUpdates:
    """Exchange of state updates that sends and receives none."""

    def open(self, _connection) -> None:
        """Ignore a new stream."""

    def close(self, _connection) -> None:
        """Ignore the end of a stream."""


def large_call() -> Execute:
    return Execute(
        0, "i-1", "id", "shop", "r", True, 5_000, 5_000, 5_000, 31, False, 1.0, "POST", "/", [],
        BODY,
    )  # fmt: skip


async def test_call_whose_body_was_not_granted_has_not_run():
    """Guard against a request that counts as run although its body never left its sender."""

    async def handle(reader, writer):
        frames = FrameReader()
        while data := await reader.read(65_536):
            for kind, _ in frames.feed(data):
                if kind is FrameKind.PING:
                    writer.write(encode_frame(FrameKind.PONG, FRAMES_VERSION))
                elif kind is FrameKind.BODY_OFFER:
                    return

    async with serve_streams(handle) as address:
        streams = PeerStreams(NoUpdates(), SystemClock(), EventLog(SystemClock()))
        call = large_call()
        reply = await streams.stream(address).call(call)
        assert isinstance(reply, LostCall) and not reply.sent and not call.dispatched
        streams.close()


async def test_old_peer_gets_whole_frames_and_may_send_them():
    """Guard against a call that an old node cannot read during an upgrade."""
    bodies = []

    async def handle(reader, writer):
        frames = FrameReader()
        while data := await reader.read(65_536):
            for kind, fields in frames.feed(data):
                if kind is FrameKind.PING:
                    writer.write(encode_frame(FrameKind.PONG))
                elif kind is FrameKind.EXECUTE:
                    bodies.append(fields[-1])
                    reply = Reply(fields[0], Ok(Answer(200, (), BODY)))
                    writer.write(encode_reply(reply, HeaderTable()))

    async with serve_streams(handle) as address:
        streams = PeerStreams(NoUpdates(), SystemClock(), EventLog(SystemClock()))
        reply = await streams.stream(address).call(large_call())
        assert reply.outcome.ok.body == BODY and bodies == [BODY]
        streams.close()
