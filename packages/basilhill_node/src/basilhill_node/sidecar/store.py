"""The store from which a node learns the configuration and the backend servers."""

from typing import Protocol

from attrs import frozen


class StoreFailedError(Exception):
    """Tell that the store gave no answer that can be used."""


class HistoryExpiredError(Exception):
    """Tell that changes were missed, so that everything must be read again."""


@frozen
class StoredItem:
    """Hold a key with its value, None for one that was removed."""

    key: str
    value: bytes | None
    revision: int


@frozen
class StoreItems:
    """Hold all items and the revision from which to watch on."""

    items: tuple[StoredItem, ...]
    revision: int


@frozen
class StoreEvents:
    """Hold changes in order and the revision from which to watch on."""

    events: tuple[StoredItem, ...]
    revision: int


class Store(Protocol):
    """Read and watch what the platform publishes."""

    async def read(self) -> StoreItems:
        """Return all items; StoreFailedError without them."""
        ...

    async def watch(self, after: int, wait_ms: int) -> StoreEvents:
        """Return what changed after a revision, nothing when the wait in ms is over."""
        ...


class StoreDecoder(Protocol):
    """Translate the items of the store; decide nothing."""

    configuration_key: str
    entry_prefix: str

    def decode_configuration(self, data: bytes):
        """Return a configuration, or what is wrong with it."""
        ...

    def decode_entry(self, server_id: str, data: bytes, now_ms: int):
        """Return the entry of a server, or why it names none."""
        ...
