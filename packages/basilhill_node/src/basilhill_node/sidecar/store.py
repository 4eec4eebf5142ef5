"""Interface of the store that publishes the configuration and the backend servers."""

from typing import Protocol

from attrs import frozen


class StoreFailedError(Exception):
    """Missing or invalid response of the store."""


class HistoryExpiredError(Exception):
    """Watch from a revision whose later changes the store has discarded; read all items again."""


@frozen
class StoredItem:
    """Key of the store with its value, or None as value if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@frozen
class StoreItems:
    """All items of the store and the revision from which to watch."""

    items: tuple[StoredItem, ...]
    revision: int


@frozen
class StoreEvents:
    """Changes in order and the revision from which to watch next."""

    events: tuple[StoredItem, ...]
    revision: int


class Store(Protocol):
    """Reader of the items that the platform publishes."""

    async def read(self) -> StoreItems:
        """Return all items; raise StoreFailedError if the store does not return them."""
        ...

    async def watch(self, after: int, wait_ms: int) -> StoreEvents:
        """Return the changes after a revision, or none if there are none within `wait_ms`."""
        ...

    async def probe(self) -> int:
        """Return a recent revision; raise StoreFailedError if the store does not respond."""
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
