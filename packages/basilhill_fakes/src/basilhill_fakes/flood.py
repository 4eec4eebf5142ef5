"""Process that sends as fast as it can, so that the system enlarges the buffers of the receiver."""

import asyncio
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

from attrs import frozen

HOST = "127.0.0.1"
CONNECTIONS = 8
# Bytes that each connection sends to a receiver that reads, and those for one that has paused.
READ_BYTES = 4 << 20
FURTHER_BYTES = 16 << 20
BLOCKED_S = 0.05
WAIT_S = 10.0
POLL_INTERVAL_S = 0.01


@frozen
class Flood:
    """Running process and the port that it listens on, 0 if it connects."""

    process: asyncio.subprocess.Process
    port: int

    async def wait_received(self, received_bytes: Callable[[], int]) -> None:
        """Wait until all bytes for a receiver that reads have come; TimeoutError after WAIT_S."""
        async with asyncio.timeout(WAIT_S):
            while True:
                if received_bytes() >= CONNECTIONS * READ_BYTES:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def send_further(self) -> None:
        """Send further bytes on all connections, until the receiver takes no more."""
        self.process.stdin.write(b"\n")
        await self.process.stdout.readline()


@asynccontextmanager
async def run_flood(head: bytes, port: int = 0) -> AsyncIterator[Flood]:
    """Send a head and a part of a body on some connections to a port, or from a new one."""
    command = (sys.executable, "-m", __name__, head.decode(), str(port))
    process = await asyncio.create_subprocess_exec(
        *command, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield Flood(process, 0 if port else int(await process.stdout.readline()))
    finally:
        process.kill()
        await process.wait()


def open_connections(port: int) -> list[socket.socket]:
    """Connect to a port; without one, print a new port and accept a request on each connection."""
    if port:
        return [socket.create_connection((HOST, port)) for _ in range(CONNECTIONS)]
    with socket.create_server((HOST, 0)) as listening:
        print(listening.getsockname()[1], flush=True)
        connections = [listening.accept()[0] for _ in range(CONNECTIONS)]
    for one in connections:
        one.recv(1024)
    return connections


def main() -> None:
    """Send to a receiver that reads, and further bytes once a line comes from standard input."""
    connections = open_connections(int(sys.argv[2]))
    for one in connections:
        one.sendall(sys.argv[1].encode() + bytes(READ_BYTES))
    sys.stdin.readline()
    for one in connections:
        one.settimeout(BLOCKED_S)
        with suppress(TimeoutError):
            one.sendall(bytes(FURTHER_BYTES))
    print(flush=True)
    sys.stdin.readline()


if __name__ == "__main__":
    main()
