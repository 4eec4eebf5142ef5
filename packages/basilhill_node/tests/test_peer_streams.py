"""Tests of the streams to peer nodes when a peer is silent and when streams are unused."""

import asyncio

from basilhill.clocks import SystemClock
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.sidecar import peer_streams
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import Execute, FrameKind, FrameReader
from basilhill_node.sidecar.peer_streams import LostCall, PeerStreams


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
