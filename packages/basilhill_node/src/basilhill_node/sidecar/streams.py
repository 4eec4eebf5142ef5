"""Connections that carry frames between two sidecar nodes."""

import asyncio
from collections.abc import Callable
from typing import Any

from basilhill.clocks import Clock

from basilhill_node.sidecar.frames import (
    FrameKind,
    FrameReader,
    HeaderTable,
)
from basilhill_node.sidecar.http_client import set_socket_options
from basilhill_node.sidecar.segments import Buffer, SegmentProtocol

FrameHandler = Callable[["StreamConnection", FrameKind, list[Any]], None]

# Limit of unsent bytes for a peer that does not read; above it calls are refused, not queued.
MAX_OUTBOX_BYTES = 4 << 20


class StreamConnection(SegmentProtocol):
    """Connection that sends frames and passes received frames to a handler."""

    def __init__(
        self,
        clock: Clock,
        handle: FrameHandler,
        opened: Callable[["StreamConnection"], None],
        failed: Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.handle = handle
        self.opened = opened
        self.failed = failed
        self.reader = FrameReader()
        self.transport: asyncio.Transport | None = None
        self.closed = asyncio.Event()
        self.peer = ""
        self.received_ms = clock.now_ms()
        self.sent_headers = HeaderTable()
        self.received_headers = HeaderTable()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        set_socket_options(transport)
        self.opened(self)

    def data_received(self, data: Buffer) -> None:
        """Handle the complete frames; close the stream if one is malformed."""
        self.received_ms = self.clock.now_ms()
        try:
            for kind, fields in self.reader.feed(data):
                self.handle(self, kind, fields)
        except Exception as error:
            # Fields of a malformed frame can fail in any way, and other streams must continue.
            self.failed(f"malformed frame: {error!r}")
            self.transport.abort()

    def update_reading(self) -> None:
        """Resume reading, which never waits: a silent stream counts as lost."""
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed.set()

    def can_send(self) -> bool:
        """Return whether fewer than `MAX_OUTBOX_BYTES` are unsent."""
        return self.transport.get_write_buffer_size() < MAX_OUTBOX_BYTES

    def send(self, data: bytes) -> None:
        """Send the bytes of a frame; drop them if the stream is closed."""
        if not self.closed.is_set():
            self.transport.write(data)

    def close(self) -> None:
        """Close immediately and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """Close after the unsent bytes have been sent."""
        if self.transport is not None:
            self.transport.close()
