"""HTTP connections with limits on their number and on the time for a request."""

from collections.abc import Callable
from typing import Any

from sanic.http import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

# A refused connection stays open this long, so that the client can read the refusal.
REFUSAL_LINGER_S = 0.2
REFUSALS_OPEN_MAX = 100
REFUSAL_TEXT = b"too many connections\n"
# The request is not read, so it may repeat a call that has run through another connection.
REFUSAL = (
    b"HTTP/1.1 502 Bad Gateway\r\n"
    b"basilhill-verdict: may-have-run\r\n"
    b"basilhill-reason: overloaded\r\n"
    b"retry-after: 1\r\n"
    b"connection: close\r\n"
    b"content-type: text/plain; charset=utf-8\r\n"
    b"content-length: %d\r\n\r\n%b" % (len(REFUSAL_TEXT), REFUSAL_TEXT)
)


def limited_protocol(limit: Callable[[], int]) -> type[HttpProtocol]:
    """Return a protocol class that serves at most `limit()` connections at a time."""
    refusals: set[HttpProtocol] = set()

    class LimitedProtocol(HttpProtocol):
        """Connection that is refused if the limit is reached."""

        __slots__ = ("refused",)

        def __init__(self, **options: Any) -> None:
            super().__init__(**options)
            self.refused = False

        def connection_made(self, transport) -> None:
            """Serve the connection, or send a refusal and close it."""
            if len(self.connections) < limit():
                super().connection_made(transport)
                return
            self.refused = True
            if len(refusals) >= REFUSALS_OPEN_MAX:
                transport.abort()
                return
            refusals.add(self)
            transport.write(REFUSAL)
            self.loop.call_later(REFUSAL_LINGER_S, transport.close)

        def connection_lost(self, exc: Exception | None) -> None:
            refusals.discard(self)
            if not self.refused:
                super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            """Process data; a slowly sent request header does not extend its time limit."""
            if self.refused:
                return
            time, http = self._time, self.http
            super().data_received(data)
            if http is not None and http.stage is Stage.REQUEST:
                self._time = time

    return LimitedProtocol
