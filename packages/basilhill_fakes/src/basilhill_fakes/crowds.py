"""Crowds of clients that do not keep to the limits: large, unfinished and unread messages."""

import asyncio
from contextlib import suppress
from itertools import count
from typing import Protocol

from attrs import define, field, frozen

from basilhill_fakes.plain_server import ATTEMPT_ID
from basilhill_fakes.sidecar_fleet import HOST

PIECE = b"x" * (64 << 10)
IDS = count(1)


class Client(Protocol):
    """Client of a crowd, which sends its request and leaves the connection open."""

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Send a request or a part of one."""
        ...


def new_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request with a new attempt id."""
    first = (f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{ATTEMPT_ID}: crowd{next(IDS)}")
    return "\r\n".join((*first, "Basilhill-Deadline-Ms: 20000", *lines, "", "")).encode()


async def send_bytes(writer: asyncio.StreamWriter, size: int, chunked: bool = False) -> None:
    """Send a part of a body of some bytes."""
    for start in range(0, size, len(PIECE)):
        piece = PIECE[: size - start]
        writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        await writer.drain()


@frozen
class Upload:
    """Upload of `size` bytes, of which the last `missing` are never sent."""

    size: int
    missing: int = 0
    chunked: bool = False
    expects_continue: bool = False
    path: str = "/write/crowd"

    async def send(self, writer: asyncio.StreamWriter) -> None:
        lines = ["Transfer-Encoding: chunked"] if self.chunked else [f"Content-Length: {self.size}"]
        if self.expects_continue:
            lines.append("Expect: 100-continue")
        writer.write(new_head("POST", self.path, *lines))
        await send_bytes(writer, self.size - self.missing, self.chunked)
        if self.chunked and not self.missing:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


@frozen
class UnfinishedHead:
    """Head of `size` bytes of short headers without an end."""

    size: int

    async def send(self, writer: asyncio.StreamWriter) -> None:
        head = new_head("GET", "/read/crowd").removesuffix(b"\r\n")
        number = next(IDS)
        while len(head) < self.size:
            head += b"%x:%x\r\n" % (len(head), number)
        writer.write(head[: self.size])
        await writer.drain()


@frozen
class UnreadDownload:
    """Requests for large responses, none of which is read."""

    requests: int = 1

    async def send(self, writer: asyncio.StreamWriter) -> None:
        for _ in range(self.requests):
            writer.write(new_head("GET", "/read/large"))
        await writer.drain()


@define(eq=False)
class Crowd:
    """Connections of many clients at one address, which stay open until the crowd leaves."""

    address: str
    port: int
    writers: list[asyncio.StreamWriter] = field(factory=list)

    async def send(self, client: Client, number: int, seconds: float) -> None:
        """Let a number of clients send at the same time, for at most some seconds."""
        sending = [asyncio.create_task(self.run(client)) for _ in range(number)]
        await asyncio.wait(sending, timeout=seconds)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    async def run(self, client: Client) -> None:
        """Run one client; the node may close its connection at any time."""
        with suppress(OSError):
            _, writer = await asyncio.open_connection(self.address, self.port, limit=1024)
            writer.transport.pause_reading()
            self.writers.append(writer)
            await client.send(writer)

    async def leave(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
