"""Sessions of aiohttp that accept no broken responses."""

from typing import Any

import aiohttp
from aiohttp import _http_parser
from aiohttp.connector import Connection
from basilhill.outcomes import FINAL_STATUSES

# Outside Python's development mode, aiohttp accepts a first header line that begins with a blank,
# and control characters in values.
_http_parser.DEBUG = True


class InvalidStatusError(aiohttp.ClientError):
    """Response whose status is not that of a final response."""


class CheckedResponse(aiohttp.ClientResponse):
    """Response with the status of a final response.

    The parser of aiohttp accepts any three digits, and aiohttp returns a response with status 101.
    """

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the response; raise InvalidStatusError and close the connection."""
        protocol = connection.protocol
        await super().start(connection)
        if self.status not in FINAL_STATUSES:
            # The connection is back in the pool if the whole response has arrived.
            protocol.close()
            raise InvalidStatusError(f"invalid status {self.status:03}")
        return self


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session with options of aiohttp; its requests raise InvalidStatusError."""
    return aiohttp.ClientSession(response_class=CheckedResponse, **options)
