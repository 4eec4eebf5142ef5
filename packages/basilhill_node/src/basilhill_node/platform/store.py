"""Read-only client of the platform's store."""

import asyncio
import binascii
import re
from base64 import b64decode
from collections.abc import AsyncIterator, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec
from attrs import define, frozen
from basilhill.clocks import Clock
from basilhill.outcomes import Header
from expression import Error, Ok, Result

from basilhill_node.platform.input import decode_input
from basilhill_node.sidecar.http_client import (
    ConnectionFailedError,
    ConnectionPool,
    ResponseLimits,
    ResponseTooLargeError,
)
from basilhill_node.sidecar.messages import HttpRequest, encode_request
from basilhill_node.sidecar.positions import StatedEra
from basilhill_node.sidecar.store import (
    HistoryExpiredError,
    StoredItem,
    StoreEvents,
    StoreFailedError,
    StoreItems,
    StoreResponseTooLargeError,
)

RANGE = "/basilhill/kv-range"
WATCH = "/basilhill/kv-watch"
STORE_ERA = "store-era"
ERA = re.compile(r"[0-9]{1,15}")
NO_ERA = StatedEra()
GONE = 410
OK = 200
# The store usually responds within 4 ms, and takes 60 times as long when it is slow.
READ_TIMEOUT_S = 1.5
# A page of items takes about 1 MB, and one item of the largest value may follow. The changes that a
# watch returns have no such bound.
RESPONSE_LIMITS = ResponseLimits(body_bytes=16 << 20)
# No key has this prefix, so a probe returns no items.
PROBE_PREFIX = "basilhill-probe/"
PROBE_TIMEOUT_S = 0.6
SHORTEST_WATCH_MS = 1
# A watch fails if it has not returned this long after `wait_ms`, since its connection is then
# unresponsive.
WATCH_MARGIN_S = 1.5


@define(eq=False)
class PlatformStore:
    """Reader of the keys in the platform's store."""

    pool: ConnectionPool
    address: str

    @classmethod
    def at(cls, address: str, clock: Clock) -> "PlatformStore":
        return cls(ConnectionPool(address, clock, RESPONSE_LIMITS), address)

    async def read(self) -> AsyncIterator[StoreItems]:
        """Yield all items in pages; raise StoreFailedError if the store does not return them."""
        after = ""
        while True:
            query = {"prefix": ""} | ({"after": after} if after else {})
            page = await self.fetch(RANGE, query, READ_TIMEOUT_S)
            yield StoreItems(page.items, page.revision, page.era)
            if not page.has_more or not page.items:
                return
            after = page.items[-1].key

    async def watch(self, after: int, wait_ms: int) -> StoreEvents:
        """Return the changes after a revision, or none if there are none within `wait_ms`.

        Raise HistoryExpiredError if the store no longer has all changes or if they are too large,
        StoreFailedError if it returns no valid response.
        """
        return await self.fetch_changes(after, wait_ms, wait_ms / 1000 + WATCH_MARGIN_S)

    async def changes(self, after: int) -> StoreEvents:
        """Return the changes after a revision at once; raise as `watch` does."""
        return await self.fetch_changes(after, SHORTEST_WATCH_MS, PROBE_TIMEOUT_S)

    async def fetch_changes(self, after: int, wait_ms: int, timeout_s: float) -> StoreEvents:
        query = {"prefix": "", "after": str(after), "waitMs": str(wait_ms)}
        try:
            page = await self.fetch(WATCH, query, timeout_s)
        except StoreResponseTooLargeError as error:
            raise HistoryExpiredError(f"the changes are too large: {error}") from error
        return StoreEvents(page.items, page.revision, page.era)

    async def probe(self) -> int:
        """Return a possibly old revision; raise StoreFailedError if the store does not respond.

        A read that may be stale costs a tenth of another one.
        """
        query = {"prefix": PROBE_PREFIX, "allowStale": "1"}
        page = await self.fetch(RANGE, query, PROBE_TIMEOUT_S)
        return page.revision

    async def fetch(self, path: str, query: dict[str, str], timeout_s: float) -> "Page":
        """Return the decoded body of a GET request."""
        request = HttpRequest("GET", f"{path}?{urlencode(query)}", [Header("host", self.address)])
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.pool.acquire()
                response = await connection.exchange(encode_request(request), None)
        except ResponseTooLargeError as error:
            raise StoreResponseTooLargeError(str(error)) from error
        except TimeoutError as error:
            raise StoreFailedError(f"store did not respond within {timeout_s} s") from error
        except ConnectionFailedError as error:
            raise StoreFailedError(str(error)) from error
        self.pool.release(connection)
        if response.status == GONE:
            raise HistoryExpiredError(f"store has no history since revision {query['after']}")
        if response.status != OK:
            raise StoreFailedError(f"store returned status {response.status}, expected {OK}")
        return decode_page(response.body, decode_era(response.headers))


@frozen
class Page:
    """Items or events in one response of the store, and the store's revision and era."""

    items: tuple[StoredItem, ...]
    revision: int
    has_more: bool
    era: StatedEra


def decode_era(headers: Sequence[Header]) -> StatedEra:
    """Return the era that a response states."""
    texts = {header.value.strip() for header in headers if header.name == STORE_ERA}
    if not texts:
        return NO_ERA
    if len(texts) > 1 or not ERA.fullmatch(min(texts)):
        quoted = ", ".join(sorted(texts))[:40]
        return StatedEra(problem=f"the era {quoted!r} is not one number of up to 15 digits")
    return StatedEra(int(min(texts)))


def decode_page(body: bytes, era: StatedEra = NO_ERA) -> Page:
    """Return the content of a response; raise StoreFailedError if it is malformed."""
    result = decode_input("the response of the store", lambda: read_page(body, era))
    if result.is_error():
        raise StoreFailedError(result.error)
    return result.ok


def read_page(body: bytes, era: StatedEra) -> Page:
    table = msgspec.json.decode(body, type=dict[str, Any])
    rows = table["items"] if "items" in table else table["events"]
    items = tuple(decode_item(row) for row in rows)
    return Page(items, int(table["asOf"]), bool(table.get("hasMore")), era)


def decode_item(item: dict[str, Any]) -> StoredItem:
    """Return an item; its value is None if it was removed and empty if it is not valid base64.

    Any client of the store can write invalid values.
    """
    value = None
    if not item.get("removed"):
        value = decode_value(item.get("value", "")).default_value(b"")
    return StoredItem(item["key"], value, int(item["revision"]))


def decode_value(text: Any) -> Result[bytes, str]:
    """Return the bytes of a base64 value."""
    try:
        return Ok(b64decode(text, validate=True))
    except (binascii.Error, TypeError, ValueError) as error:
        return Error(str(error))
