"""Test double of a backend server whose responses are chosen byte for byte."""

import asyncio
from collections import Counter
from collections.abc import Callable

from attrs import define, field

from basilhill_fakes.plain_server import ATTEMPT_ID, SIGNATURE

BODY = b"hello"


def raw_response(
    attempt: str,
    *lines: str,
    status_line: str = "HTTP/1.1 200 OK",
    framing: str = f"Content-Length: {len(BODY)}",
    body: bytes = BODY,
) -> bytes:
    """Return a response that is correct except for the given status line, header lines or framing.

    The given lines come first in the head.
    """
    head = (status_line, *lines, f"{ATTEMPT_ID}: {attempt}", f"{SIGNATURE}: {attempt}", framing)
    return "\r\n".join((*head, "", "")).encode("latin-1") + body


@define(eq=False)
class RawServer:
    """Backend server that sends the bytes returned by `respond` for the id of each attempt."""

    respond: Callable[[str], bytes]
    connections: int = 0
    runs: Counter[str] = field(factory=Counter)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the requests of one connection."""
        self.connections += 1
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = (line.partition(":") for line in head.split("\r\n")[1:])
            headers = {name.lower(): value.strip() for name, _, value in lines}
            await reader.readexactly(int(headers.get("content-length", 0)))
            attempt = headers[ATTEMPT_ID.lower()]
            self.runs[attempt] += 1
            writer.write(self.respond(attempt))
            await writer.drain()
