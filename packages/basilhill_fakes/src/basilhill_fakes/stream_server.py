"""Server of byte streams for tests, whose handlers end before the test does."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

ADDRESS = "127.0.0.1"
StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def serve_streams(
    handle: StreamHandler, host: str = ADDRESS, port: int = 0
) -> AsyncIterator[str]:
    """Serve connections with a handler; yield the address.

    A handler that outlives its event loop leaves an open StreamWriter, whose finalizer fails in a
    later test. If that happens while Python 3.11 parses source code, as sanic and pytest do, the
    parser raises SystemError.
    """
    tasks: set[asyncio.Task] = set()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.add(asyncio.current_task())
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            await handle(reader, writer)
        writer.close()

    server = await asyncio.start_server(run, host, port)
    try:
        yield f"{host}:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        # Lets the event loop close the transports.
        await asyncio.sleep(0)
