"""Tests of the streams to peer nodes when a peer is silent and when streams are unused."""

import asyncio
from functools import partial

import pytest
from basilhill.clocks import SystemClock
from basilhill.outcomes import Answer, ExecutionStatus, Header, Reason
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.sidecar import peer_streams
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    Execute,
    FrameKind,
    FrameReader,
    HeaderTable,
    Reply,
    encode_reply,
)
from basilhill_node.sidecar.peer_streams import LostCall, PeerStreams
from expression import Ok


class NoUpdates:
    """Exchange of state updates that sends and receives none."""

    def open(self, _connection) -> None:
        """Ignore a new stream."""

    def close(self, _connection) -> None:
        """Ignore the end of a stream."""


def new_streams() -> PeerStreams:
    clock = SystemClock()
    return PeerStreams(NoUpdates(), clock, EventLog(clock))


def call() -> Execute:
    return Execute(
        0, "i-1", "id", "shop", "r", True, 5_000, 5_000, 5_000, 31, False, 1.0, "GET", "/", [], b"",
    )  # fmt: skip


async def test_silent_peer_is_pinged_then_gets_no_calls_then_loses_its_stream():
    """Guard against calls that wait for a peer whose connections are open and silent."""
    kinds: list[FrameKind] = []
    arrived = asyncio.Event()

    async def handle(reader, _writer):
        frames = FrameReader()
        while data := await reader.read(65_536):
            kinds.extend(kind for kind, _ in frames.feed(data))
            if FrameKind.EXECUTE in kinds:
                arrived.set()

    async with serve_streams(handle) as address:
        streams = new_streams()
        stream = streams.stream(address)
        waiting = asyncio.create_task(stream.call(call()))
        await arrived.wait()
        silent_since_ms = stream.connection.received_ms
        kinds.clear()
        stream.check(silent_since_ms + 300)
        await asyncio.sleep(0.05)
        assert FrameKind.PING in kinds and not stream.unresponsive
        stream.check(silent_since_ms + peer_streams.UNRESPONSIVE_MS + 1)
        assert await stream.call(call()) == LostCall(False, f"{address} is silent or does not read")
        stream.check(silent_since_ms + peer_streams.PEER_TIMEOUT_MS + 1)
        assert (await waiting).sent
        assert streams.busy == set()
        streams.close()


async def answering_peer(answers: list[Answer], reader, writer) -> None:
    """Reply to each call with the next of the answers, as a node of an older version does."""
    frames, table = FrameReader(), HeaderTable()
    while data := await reader.read(65_536):
        for kind, fields in frames.feed(data):
            if kind is FrameKind.EXECUTE:
                writer.write(encode_reply(Reply(fields[0], Ok(answers.pop(0)), 3, 2.5), table))


@pytest.mark.parametrize("status", [0, 1, 99, 100, 101, 199, 600, 999, -1])
async def test_reply_of_an_older_node_with_an_invalid_status_is_no_answer(status):
    """Guard against an older node that passes on the invalid status of its server.

    The reply reports the load of the server as others do, and its stream stays open.
    """
    headers = (Header("a", "b"),)
    answers = [Answer(found, headers, b"body") for found in (200, status, 200)]
    async with serve_streams(partial(answering_peer, answers)) as address:
        streams = new_streams()
        stream = streams.stream(address)
        async with asyncio.timeout(2):
            first, broken, last = [await stream.call(call()) for _ in range(3)]
        streams.close()
    assert first.outcome == last.outcome == Ok(Answer(200, headers, b"body"))
    assert broken.outcome.is_error()
    refusal = broken.outcome.error
    assert refusal.execution_status is ExecutionStatus.MAY_HAVE_RUN
    assert refusal.reason is Reason.CONNECTION_LOST
    assert (broken.running, broken.level) == (3, 2.5)


async def test_only_streams_with_calls_in_flight_are_checked(monkeypatch):
    """Guard against periodic work that grows with the number of open streams of a node."""
    monkeypatch.setattr(peer_streams, "UNUSED_STREAM_MS", -1)

    async def handle(reader, _writer):
        await reader.read()

    async with serve_streams(handle) as address:
        streams = new_streams()
        waiting = asyncio.create_task(streams.stream(address).call(call()))
        await asyncio.sleep(0.05)
        assert streams.busy == {streams.stream(address)}
        streams.drop_unused()
        assert not waiting.done()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert streams.busy == set()
        streams.drop_unused()
        await asyncio.sleep(0.05)
        streams.drop_unused()
        assert streams.streams == {}
