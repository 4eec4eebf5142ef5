"""Tests of the reading of connections in segments, on the event loop of the node program."""

import asyncio
import socket
from contextlib import suppress

import uvloop
from attrs import define, field
from basilhill_node.sidecar.segments import SEGMENT_BYTES, Buffer, SegmentProtocol

SENT_BYTES = 40 * SEGMENT_BYTES


@define(eq=False)
class CountingConnection(SegmentProtocol):
    """Connection that counts the segments of each turn of the event loop."""

    transport: asyncio.Transport | None = None
    received_bytes: int = 0
    # Segments since the start of the turn, and the most of any turn.
    segments: int = 0
    most_segments: int = 0
    complete: asyncio.Event = field(factory=asyncio.Event)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: Buffer) -> None:
        """Count a segment."""
        self.segments += 1
        self.most_segments = max(self.most_segments, self.segments)
        self.received_bytes += len(data)
        if self.received_bytes >= SENT_BYTES:
            self.complete.set()

    def update_reading(self) -> None:
        """Resume reading."""
        self.transport.resume_reading()


async def read_all() -> CountingConnection:
    """Read bytes that have arrived before the connection is first read."""
    connection = CountingConnection()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: connection, "127.0.0.1", 0)

    def start_turn() -> None:
        connection.segments = 0
        loop.call_soon(start_turn)

    with socket.create_connection(server.sockets[0].getsockname()) as client:
        client.setblocking(False)
        sent = 0
        with suppress(BlockingIOError):
            while sent < SENT_BYTES:
                sent += client.send(bytes(SENT_BYTES - sent))
        assert sent == SENT_BYTES
        start_turn()
        async with asyncio.timeout(5):
            await connection.complete.wait()
    server.close()
    return connection


def test_connection_is_read_one_segment_in_each_turn():
    """Guard against a sender of large messages that delays all other connections.

    uvloop reads up to 32 segments of a connection in one turn while each is full.
    """
    connection = uvloop.run(read_all())
    assert connection.received_bytes == SENT_BYTES
    assert connection.most_segments == 1
