"""Interface of the store that publishes the configuration and the backend servers."""

from collections.abc import AsyncIterator
from typing import Protocol

from attrs import frozen

from basilhill_node.sidecar.positions import StatedEra


class StoreFailedError(Exception):
    """Missing or invalid response of the store."""


class StoreResponseTooLargeError(StoreFailedError):
    """Response of the store that exceeds the limits of this node."""


class HistoryExpiredError(Exception):
    """Watch from a position whose later changes the store does not have; read all items again."""


@frozen
class StoredItem:
    """Key of the store with its value, or None as value if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@frozen
class StoreItems:
    """Some items of the store, and its revision and era when they were read."""

    items: tuple[StoredItem, ...]
    revision: int
    era: StatedEra = StatedEra()


@frozen
class StoreEvents:
    """Changes in order, the revision from which to watch next, and its era."""

    events: tuple[StoredItem, ...]
    revision: int
    era: StatedEra = StatedEra()


class Store(Protocol):
    """Reader of the items that the platform publishes."""

    def read(self) -> AsyncIterator[StoreItems]:
        """Yield all items in pages; raise StoreFailedError if the store does not return them.

        Pages are read at different revisions, so watching starts at that of the first page.
        """
        ...

    async def watch(self, after: int, wait_ms: int) -> StoreEvents:
        """Return the changes after a revision, or none if there are none within `wait_ms`."""
        ...

    async def changes(self, after: int) -> StoreEvents:
        """Return the changes after a revision at once; the response is never stale."""
        ...

    async def probe(self) -> int:
        """Return a possibly old revision; raise StoreFailedError if the store does not respond."""
        ...


class StoreDecoder(Protocol):
    """Decoder of the values in the store, which makes no decisions."""

    configuration_key: str
    entry_prefix: str

    def decode_configuration(self, data: bytes):
        """Return a configuration, or why it is invalid."""
        ...

    def decode_entry(self, server_id: str, data: bytes, now_ms: int):
        """Return the entry of a server, or why it is invalid."""
        ...
