"""Tests of outgoing peer streams to a peer that violates the protocol."""

import asyncio
import struct

import pytest
from basilhill.calls import CallContext, CallRequest, PriorityClass
from basilhill.clocks import SystemClock
from basilhill.settings import normalise_settings
from basilhill_node.frames import BATCH_BYTES, FrameSender
from basilhill_node.network import DirectNetwork
from basilhill_node.peers import PeerClient
from basilhill_node.state import new_state
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerBase
from grpclib.server import Server

ADDRESS = "127.0.9.8"
ABORT = object()
ANSWER = wire.Reply(status=200, body=b"done")
HELLO = wire.Frame(hello=wire.Hello(node=f"{ADDRESS}:1", incarnation="first"))


class FaultyPeer(PeerBase):
    """Peer that replies to the first call with a fault and to later ones correctly."""

    def __init__(self, fault):
        self.fault = fault

    async def Exchange(self, stream):  # noqa: N802 - the name of the generated base class
        async for batch in stream:
            for frame in batch.frames:
                if frame.HasField("hello"):
                    await stream.send_message(wire.Batch(frames=[HELLO]))
                elif frame.HasField("execute"):
                    await self.answer(stream, frame.execute.call_id)

    async def answer(self, stream, call_id):
        fault, self.fault = self.fault, None
        if fault is ABORT:
            stream._stream._transport.abort()
        elif isinstance(fault, bytes):
            await stream._stream.send_data(fault)
        else:
            reply = wire.Reply(call_id=call_id)
            reply.MergeFrom(ANSWER if fault is None else fault)
            await stream.send_message(wire.Batch(frames=[wire.Frame(reply=reply)]))


def new_node():
    given = {"address": ADDRESS, "data_centre": "a", "service": "s", "platform_url": ""}
    return new_state(normalise_settings(given).ok, SystemClock(), DirectNetwork(), None)


async def execute(node, client, timeout_ms=2_000):
    """Return the result of a call, sent once the stream is connected."""
    async with asyncio.timeout(timeout_ms / 1000):
        await client.connected.wait()
    deadline_ms = node.clock.now_ms() + timeout_ms
    context = CallContext("a", "x", PriorityClass.BROWSE, deadline_ms, cohort=0)
    return await client.execute(context, None, CallRequest("s", "GET", "/x"))


@pytest.mark.parametrize(
    "fault",
    [
        wire.Reply(verdict=9),
        wire.Reply(verdict=1, reason="unheard of"),
        struct.pack(">?I", False, 4_000_000_000),
        struct.pack(">?I", False, 4) + b"\xff" * 4,
    ],
)
async def test_malformed_reply_counts_as_lost_and_the_stream_is_reopened(fault):
    """Guard against a stream that is never reopened after one malformed message."""
    node, lost, answered = await call_twice(fault)
    assert lost.error.sent
    assert answered.ok.outcome.ok.body == b"done"
    assert any("malformed message" in decision.reason for decision in node.log.decisions)


async def test_lost_connection_ends_the_call_and_the_stream_is_reopened():
    """Guard against waiting forever on the stream of a node that was killed."""
    _, lost, answered = await call_twice(ABORT)
    assert lost.error.sent
    assert answered.ok.outcome.ok.body == b"done"


async def call_twice(fault):
    """Return a node and the results of two calls to a peer that fails on the first."""
    server = Server([FaultyPeer(fault)])
    await server.start(ADDRESS, 0)
    port = server._server.sockets[0].getsockname()[1]
    node = new_node()
    client = PeerClient(node, f"{ADDRESS}:{port}")
    task = asyncio.create_task(client.run())
    try:
        lost = await execute(node, client)
        answered = await execute(node, client)
    finally:
        task.cancel()
        server.close()
        await server.wait_closed()
    return node, lost, answered


def test_queued_frames_are_sent_in_messages_of_bounded_size():
    """Guard against a message so long that the peer rejects it and all its calls fail."""
    sender = FrameSender(None, SystemClock(), DirectNetwork(), 100)
    for number in range(10):
        sender.submit(wire.Frame(reply=wire.Reply(call_id=number, body=b"x" * (BATCH_BYTES // 4))))
    batches = []
    while batch := sender.pop_batch():
        batches.append([frame.reply.call_id for frame in batch])
    assert batches == [[0, 1, 2, 3], [4, 5, 6, 7], [8, 9]]
