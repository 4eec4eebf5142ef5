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
    """

    buffer: ClassVar[memoryview] = memoryview(bytearray(SEGMENT_BYTES))

    def get_buffer(self, _size_hint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, count: int) -> None:
        self.data_received(self.buffer[:count])

    def data_received(self, data: Buffer) -> None:
        """Handle received bytes, which are valid only during this call."""
        raise NotImplementedError
