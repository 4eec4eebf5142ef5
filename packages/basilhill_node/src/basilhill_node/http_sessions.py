"""Sessions of aiohttp that accept no broken responses."""

from typing import Any

import aiohttp
from aiohttp import _http_parser
from aiohttp.connector import Connection
from basilhill.outcomes import FINAL_STATUSES

# Outside Python's development mode, aiohttp accepts a first header line that begins with a blank,
# and control characters in values.
_http_parser.DEBUG = True


class BrokenResponseError(aiohttp.ClientError):
    """Response with a head that is malformed, or that aiohttp accepts and HTTP/1 does not."""


class CheckedResponse(aiohttp.ClientResponse):
    """Response of HTTP/1 with the status of a final response and no transfer coding but chunks.

    The parser of aiohttp accepts the versions 0.9 and 2.0, any three digits and any coding, and
    aiohttp returns a response with status 101.
    """

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the response; raise BrokenResponseError and close the connection."""
        protocol = connection.protocol
        try:
            await super().start(connection)
        except aiohttp.ClientResponseError as error:
            # The lines after the first one quote the head.
            problem = error.message.partition("\n")[0].rstrip(":")
            raise BrokenResponseError(f"malformed head: {problem}") from error
        problem = self.head_problem()
        if problem:
            # The connection is back in the pool if the whole response has arrived.
            protocol.close()
            raise BrokenResponseError(problem)
        return self

    def head_problem(self) -> str:
        """Return what is wrong with the head, empty if nothing is."""
        if self.version.major != 1:
            return f"invalid version HTTP/{self.version.major}.{self.version.minor}"
        if self.status not in FINAL_STATUSES:
            return f"invalid status {self.status:03}"
        # The strict parser refuses a second header with this name.
        coding = self.headers.get("Transfer-Encoding", "chunked")
        return "" if coding.lower() == "chunked" else "unknown transfer coding"


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session with options of aiohttp; its requests raise BrokenResponseError."""
    return aiohttp.ClientSession(response_class=CheckedResponse, **options)
