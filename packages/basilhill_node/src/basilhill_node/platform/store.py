"""The platform's store, which can only be read."""

import asyncio
import binascii
from base64 import b64decode
from typing import Any
from urllib.parse import urlencode

import msgspec
from attrs import define
from basilhill.clocks import Clock
from basilhill.verdicts import Header
from expression import Error, Ok, Result

from basilhill_node.sidecar.http_client import ConnectionFailedError, ConnectionPool
from basilhill_node.sidecar.messages import HttpRequest, encode_request
from basilhill_node.sidecar.store import (
    HistoryExpiredError,
    StoredItem,
    StoreEvents,
    StoreFailedError,
    StoreItems,
)

RANGE = "/basilhill/kv-range"
WATCH = "/basilhill/kv-watch"
GONE = 410
OK = 200
# Answers usually take 4 ms, 60 times that when the store is slow.
READ_TIMEOUT_S = 1.5
# A watch that has not returned by then hangs on a silent connection.
WATCH_MARGIN_S = 1.5


@define(eq=False)
class PlatformStore:
    """Read and watch the keys of the store."""

    pool: ConnectionPool
    address: str

    @classmethod
    def at(cls, address: str, clock: Clock) -> "PlatformStore":
        """Return a reader of the store at an address."""
        return cls(ConnectionPool(address, clock), address)

    async def read(self) -> StoreItems:
        """Return all items; StoreFailedError without them."""
        items: list[StoredItem] = []
        after, revision = "", 0
        while True:
            query = {"prefix": ""} | ({"after": after} if after else {})
            page = await self.fetch(RANGE, query, READ_TIMEOUT_S)
            # Pages are no snapshot: the first one's revision is where watching starts.
            revision = revision or int(page["asOf"])
            items.extend(decode_item(item) for item in page["items"])
            if not page["hasMore"] or not page["items"]:
                return StoreItems(tuple(items), revision)
            after = page["items"][-1]["key"]

    async def watch(self, after: int, wait_ms: int) -> StoreEvents:
        """Return what changed after a revision, nothing when the wait is over.

        HistoryGoneError when the store no longer knows, StoreFailedError without an answer.
        """
        query = {"prefix": "", "after": str(after), "waitMs": str(wait_ms)}
        page = await self.fetch(WATCH, query, wait_ms / 1000 + WATCH_MARGIN_S)
        events = tuple(decode_item(event) for event in page["events"])
        return StoreEvents(events, int(page["asOf"]))

    async def fetch(self, path: str, query: dict[str, str], timeout_s: float) -> dict[str, Any]:
        """Return the body of a call."""
        request = HttpRequest("GET", f"{path}?{urlencode(query)}", [Header("host", self.address)])
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.pool.acquire()
                response = await connection.exchange(encode_request(request), None)
        except TimeoutError as error:
            raise StoreFailedError(f"no answer within {timeout_s} s") from error
        except ConnectionFailedError as error:
            raise StoreFailedError(str(error)) from error
        self.pool.release(connection)
        if response.status == GONE:
            raise HistoryExpiredError(f"no history since {query['after']}")
        if response.status != OK:
            raise StoreFailedError(f"status {response.status}")
        return decode_page(response.body)


def decode_page(body: bytes) -> dict[str, Any]:
    """Return the table of an answer."""
    try:
        page = msgspec.json.decode(body, type=dict[str, Any])
        int(page["asOf"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
        raise StoreFailedError(f"the answer cannot be read: {error!r}") from error
    return page


def decode_item(item: dict[str, Any]) -> StoredItem:
    """Return an item, without a value for one that is removed; other writers may spoil values."""
    value = None
    if not item.get("removed"):
        value = decode_value(item.get("value", "")).default_value(b"")
    return StoredItem(item["key"], value, int(item["revision"]))


def decode_value(text: Any) -> Result[bytes, str]:
    """Return the bytes of a value."""
    try:
        return Ok(b64decode(text, validate=True))
    except (binascii.Error, TypeError, ValueError) as error:
        return Error(str(error))
