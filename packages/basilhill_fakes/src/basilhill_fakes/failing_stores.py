"""Stores that fail for one node while they serve the others."""

import asyncio

from basilhill_node.sidecar.store import StoreFailedError


class SilentStore:
    """Store that does not respond to this node, with the timeouts of the real client."""

    async def read(self):
        await asyncio.sleep(1.5)
        raise StoreFailedError("no response")
        yield

    async def watch(self, _after: int, wait_ms: int):
        await asyncio.sleep(wait_ms / 1000 + 1.5)
        raise StoreFailedError("no response")

    async def changes(self, _after: int):
        await asyncio.sleep(0.6)
        raise StoreFailedError("no response")

    async def probe(self) -> int:
        await asyncio.sleep(0.6)
        raise StoreFailedError("no response")


class RefusingStore:
    """Store that refuses this node only."""

    async def read(self):
        raise StoreFailedError("status 503")
        yield

    async def watch(self, _after: int, _wait_ms: int):
        raise StoreFailedError("status 503")

    async def changes(self, _after: int):
        raise StoreFailedError("status 503")

    async def probe(self) -> int:
        raise StoreFailedError("status 503")
