"""Reading of connections in segments of a bounded size."""

import asyncio
from typing import ClassVar

Buffer = bytes | memoryview

# A segment of this size takes about a millisecond to parse, even if it consists of chunks of one
# byte.
SEGMENT_BYTES = 16 << 10


class SegmentProtocol(asyncio.BufferedProtocol):
    """Protocol that receives one segment in each turn of the event loop.

    The connections share the buffer: the event loop handles each segment before it reads the next.
    Without a pause it would read up to 32 segments of a connection in one turn.
    """

    buffer: ClassVar[memoryview] = memoryview(bytearray(SEGMENT_BYTES))
    transport: asyncio.Transport | None

    def get_buffer(self, _size_hint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, count: int) -> None:
        self.data_received(self.buffer[:count])
        if count == SEGMENT_BYTES and not self.transport.is_closing():
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self.update_reading)

    def update_reading(self) -> None:
        """Pause or resume reading, as the connection requires."""
        raise NotImplementedError

    def data_received(self, data: Buffer) -> None:
        """Handle received bytes, which are valid only during this call."""
        raise NotImplementedError
