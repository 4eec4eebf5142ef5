"""Read what the system holds for a connection."""

import asyncio
import fcntl
import sys
import termios


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the received bytes that the system holds for a connection."""
    size = bytearray(4)
    fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, size)
    return int.from_bytes(size, sys.byteorder)
