"""Progress of the bytes that a connection sends, as its socket reports it."""

import asyncio
import socket
import struct

from attrs import frozen

# Fields of `struct tcp_info` of Linux: segments without acknowledgement, acknowledged bytes, and
# bytes that the system has not sent yet.
UNACKNOWLEDGED_SEGMENTS = struct.Struct("24xI")
ACKNOWLEDGED_BYTES = struct.Struct("120xQ")
UNSENT_BYTES = struct.Struct("144xI")
TCP_INFO_BYTES = 148


@frozen
class SendQueue:
    """Bytes that the remote host has taken so far, and whether it has not taken some yet."""

    taken_bytes: int
    pending: bool


def read_send_queue(transport: asyncio.Transport) -> SendQueue:
    """Return the progress of what was written to an open connection."""
    connection = transport.get_extra_info("socket")
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (segments,) = UNACKNOWLEDGED_SEGMENTS.unpack_from(info)
    (taken_bytes,) = ACKNOWLEDGED_BYTES.unpack_from(info)
    (unsent_bytes,) = UNSENT_BYTES.unpack_from(info)
    return SendQueue(
        taken_bytes, bool(segments or unsent_bytes or transport.get_write_buffer_size())
    )
