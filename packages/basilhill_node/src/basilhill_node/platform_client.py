"""Clients of the platform's configuration service and fleet list."""

from typing import Protocol

import aiohttp
from attrs import frozen
from basilhill.fleet import VmEntry, VmState
from basilhill.settings import NodeSettings
from expression import Error, Ok, Result

from basilhill_node.http_sessions import open_session

REVISION = "X-Revision"
READ_TIMEOUT_S = 5.0
WATCH_TIMEOUT_S = 30.0


@frozen
class Revision:
    """Configuration document at one revision."""

    number: int
    text: str


class PlatformClient(Protocol):
    """Access to the document and the fleet list that the platform publishes."""

    async def read_document(self) -> Result[Revision, str]:
        """Return the current document, or the reason why it is not readable."""
        ...

    async def watch_document(self, after: int) -> Result[Revision, str]:
        """Wait for a revision above `after`; return the document, or why it is not readable."""
        ...

    async def read_fleet(self) -> Result[tuple[VmEntry, ...], str]:
        """Return the entries of the fleet list, or the reason why it is not readable."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class HttpPlatformClient:
    """Platform that is read over HTTP."""

    def __init__(self, settings: NodeSettings) -> None:
        self.base = settings.platform_url
        self.session = open_session()

    async def read_document(self) -> Result[Revision, str]:
        """Return the current document, or the reason why it is not readable."""
        return await self.document("/configuration", READ_TIMEOUT_S)

    async def watch_document(self, after: int) -> Result[Revision, str]:
        """Wait for a revision above `after`; return the document, or why it is not readable."""
        return await self.document(f"/configuration?after={after}", WATCH_TIMEOUT_S)

    async def document(self, path: str, timeout_s: float) -> Result[Revision, str]:
        """Read the document and its revision header from a path."""
        try:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
            async with self.session.get(self.base + path, timeout=timeout) as response:
                response.raise_for_status()
                text = await response.text()
                return Ok(Revision(int(response.headers[REVISION]), text))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError) as error:
            return Error(f"{type(error).__name__}: {error}")

    async def read_fleet(self) -> Result[tuple[VmEntry, ...], str]:
        """Return the entries of the fleet list, or the reason why it is not readable."""
        try:
            timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
            async with self.session.get(self.base + "/fleet", timeout=timeout) as response:
                response.raise_for_status()
                listed = await response.json()
            return Ok(
                tuple(
                    VmEntry(vm["node"], vm["service"], vm["data_centre"], VmState(vm["state"]))
                    for vm in listed["vms"]
                )
            )
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            return Error(f"{type(error).__name__}: {error}")

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
