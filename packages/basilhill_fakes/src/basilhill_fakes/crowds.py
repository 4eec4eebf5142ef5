"""Crowds of clients that do not keep to the limits: large, unfinished and unread messages."""

import asyncio
from collections.abc import Sequence
from contextlib import suppress
from itertools import count, cycle, islice
from typing import Protocol

from attrs import define, field, frozen

from basilhill_fakes.plain_server import ATTEMPT_ID
from basilhill_fakes.sidecar_fleet import HOST

PIECE = b"x" * (64 << 10)
IDS = count(1)
READ_INTERVAL_S = 0.1


class Client(Protocol):
    """Client of a crowd, which sends its request and leaves the connection open."""

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a request or a part of one, and read as much as the client does."""
        ...


def new_head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request with a new attempt id."""
    first = (f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{ATTEMPT_ID}: crowd{next(IDS)}")
    return "\r\n".join((*first, "Basilhill-Deadline-Ms: 20000", *lines, "", "")).encode()


async def send_bytes(writer: asyncio.StreamWriter, size: int) -> None:
    """Send a part of a body of some bytes."""
    for start in range(0, size, len(PIECE)):
        writer.write(PIECE[: size - start])
        await writer.drain()


async def send_chunks(writer: asyncio.StreamWriter, size: int, chunk_bytes: int) -> None:
    """Send some bytes of a body in chunks, of which the last one may stay unfinished."""
    head = b"%x\r\n" % chunk_bytes
    if chunk_bytes <= len(PIECE):
        together = len(PIECE) // chunk_bytes
        batch = (head + PIECE[:chunk_bytes] + b"\r\n") * together
        for _ in range(size // (chunk_bytes * together)):
            writer.write(batch)
            await writer.drain()
        size %= chunk_bytes * together
    while size > 0:
        writer.write(head)
        await send_bytes(writer, min(size, chunk_bytes))
        if size >= chunk_bytes:
            writer.write(b"\r\n")
        size -= chunk_bytes


@frozen
class Upload:
    """Upload of `size` bytes, of which the last `missing` are never sent."""

    size: int
    missing: int = 0
    # Length of the chunks of a chunked body, which `size` is a multiple of; 0 with a length.
    chunk_bytes: int = 0
    expects_continue: bool = False
    closes: bool = False
    path: str = "/write/crowd"

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = f"Content-Length: {self.size}"
        lines = ["Transfer-Encoding: chunked" if self.chunk_bytes else length]
        if self.expects_continue:
            lines.append("Expect: 100-continue")
        if self.closes:
            lines.append("Connection: close")
        writer.write(new_head("POST", self.path, *lines))
        if self.chunk_bytes:
            await send_chunks(writer, self.size - self.missing, self.chunk_bytes)
        else:
            await send_bytes(writer, self.size - self.missing)
        if self.chunk_bytes and not self.missing:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


@frozen
class DroppedUpload:
    """Upload whose connection is reset after some seconds."""

    upload: Upload
    seconds: float

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self.seconds):
                await self.upload.run(reader, writer)
        writer.transport.abort()


@frozen
class UnfinishedHead:
    """Head of `size` bytes of short headers without an end."""

    size: int

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(self.requests):
            writer.write(new_head("GET", "/read/large"))
        await writer.drain()


@frozen
class SlowDownload:
    """Request for a large response, of which the client reads `rate` bytes a second."""

    path: str
    rate: int

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(new_head("GET", self.path))
        writer.transport.resume_reading()
        part = int(self.rate * READ_INTERVAL_S)
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            if not await reader.read(part):
                return


@define(eq=False)
class Crowd:
    """Connections of many clients at one address, which stay open until the crowd leaves."""

    address: str
    port: int
    # Whether a client comes back once the node has closed its connection.
    returning: bool = False
    writers: set[asyncio.StreamWriter] = field(factory=set)

    async def send(self, clients: Sequence[Client], number: int, seconds: float) -> None:
        """Let a number of clients of some kinds run at the same time, for at most some seconds."""
        running = [
            asyncio.create_task(self.run(client)) for client in islice(cycle(clients), number)
        ]
        await asyncio.wait(running, timeout=seconds)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def run(self, client: Client) -> None:
        """Run one client; the node may close its connection at any time."""
        while True:
            with suppress(OSError):
                await self.visit(client)
            if not self.returning:
                return

    async def visit(self, client: Client) -> None:
        """Run one client on a new connection; one that returns reads until the node closes it."""
        reader, writer = await asyncio.open_connection(self.address, self.port, limit=1024)
        writer.transport.pause_reading()
        self.writers.add(writer)
        await client.run(reader, writer)
        if self.returning:
            writer.transport.resume_reading()
            while await reader.read(len(PIECE)):
                pass
            self.writers.remove(writer)
            writer.close()

    async def leave(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
