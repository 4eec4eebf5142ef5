"""Reading and watching of the configuration and server entries in the platform's store."""

import asyncio
from random import Random

from attrs import define, field
from basilhill.backends import BackendEntry
from basilhill.clocks import Clock

from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.state import StoreView
from basilhill_node.sidecar.store import (
    HistoryExpiredError,
    Store,
    StoreDecoder,
    StoredItem,
    StoreFailedError,
)

# The store allows waits up to 30 s. The wait is long because each request to the store has a price.
WATCH_MS = 25_000
# Pause after a watch that returned changes. Changes often come in groups, and one later watch then
# returns the rest of the group. The pause doubles up to the maximum while changes continue, as when
# a fleet restarts and each server updates its remaining ramp-up time several times. The strictest
# bound for applying a change is 2 s.
COALESCE_MS = 250
COALESCE_MAX_MS = 750
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1_000
# Servers register again within about 2 s after the store has recovered.
REGISTRATION_GRACE_MS = 2_500
SOURCE = "store"


def next_pause_ms(pause_ms: int, events: int, waited_ms: int) -> int:
    """Return the pause after a watch; it doubles if changes came within `COALESCE_MS`."""
    if not events:
        return 0
    if waited_ms > COALESCE_MS:
        return COALESCE_MS
    return min(COALESCE_MAX_MS, max(COALESCE_MS, 2 * pause_ms))


@define(eq=False)
class StoreFollower:
    """Task that keeps the configuration and the server directory in line with the store."""

    store: Store
    decoder: StoreDecoder
    updater: ViewUpdater
    view: StoreView
    clock: Clock
    log: EventLog
    random: Random = field(factory=Random)

    async def run(self) -> None:
        """Read all items and watch for changes, again after each failure, until cancelled."""
        pause_ms = RETRY_MIN_MS
        while True:
            try:
                await self.read()
                pause_ms = RETRY_MIN_MS
                await self.watch()
            except HistoryExpiredError as error:
                self.log.record("store", "history expired, reading all items", reason=str(error))
            except StoreFailedError as error:
                self.record_store_loss(str(error))
                await asyncio.sleep(pause_ms * self.random.uniform(0.5, 1.0) / 1000)
                pause_ms = min(2 * pause_ms, RETRY_MAX_MS)

    async def read(self) -> None:
        """Read all items of the store and apply them."""
        read = await self.store.read()
        now_ms = self.clock.now_ms()
        # Entries that expired during an outage of the store may be registered again shortly.
        retained_until_ms = now_ms + REGISTRATION_GRACE_MS if self.view.unreachable_since_ms else 0
        self.record_store_contact(now_ms, read.revision)
        entries = []
        for item in read.items:
            if item.key == self.decoder.configuration_key:
                self.updater.apply_configuration(item.value or b"", SOURCE)
            elif item.key.startswith(self.decoder.entry_prefix):
                entry = self.decode_entry(item)
                if entry is not None:
                    entries.append(entry)
        self.updater.replace(entries, retained_until_ms)

    async def watch(self) -> None:
        """Apply changes as they arrive, until the store fails."""
        pause_ms = 0
        while True:
            earliest_expiry_ms = min(
                self.updater.directory.retained_until_ms.values(), default=None
            )
            wait_ms = WATCH_MS
            if earliest_expiry_ms is not None:
                wait_ms = max(1, min(WATCH_MS, earliest_expiry_ms - self.clock.now_ms()))
            started_ms = self.clock.now_ms()
            watched = await self.store.watch(self.view.revision, wait_ms)
            now_ms = self.clock.now_ms()
            self.record_store_contact(now_ms, max(self.view.revision, watched.revision))
            for item in watched.events:
                self.apply_event(item)
            self.updater.expire(now_ms)
            pause_ms = next_pause_ms(pause_ms, len(watched.events), now_ms - started_ms)
            await asyncio.sleep(pause_ms / 1000)

    def apply_event(self, item: StoredItem) -> None:
        if item.key == self.decoder.configuration_key:
            if item.value is not None:
                self.updater.apply_configuration(item.value, SOURCE)
            return
        if not item.key.startswith(self.decoder.entry_prefix):
            return
        entry = None if item.value is None else self.decode_entry(item)
        if entry is None:
            # An invalid entry removes the server that its key registered before.
            self.updater.remove(item.key.removeprefix(self.decoder.entry_prefix), SOURCE)
        else:
            self.updater.put(entry, SOURCE)

    def decode_entry(self, item: StoredItem) -> BackendEntry | None:
        """Return the server entry of an item; log and return None if it cannot be decoded."""
        server_id = item.key.removeprefix(self.decoder.entry_prefix)
        result = self.decoder.decode_entry(server_id, item.value or b"", self.clock.now_ms())
        if result.is_error():
            self.log.record("servers", "entry ignored", problem=result.error)
            return None
        return result.ok

    def record_store_contact(self, now_ms: int, revision: int) -> None:
        """Record a response of the store and its revision."""
        view = self.view
        away_ms = now_ms - view.unreachable_since_ms if view.unreachable_since_ms else 0
        recovered, view.reachable, view.unreachable_since_ms = not view.reachable, True, 0
        view.last_contact_ms = now_ms
        view.revision = revision
        if recovered:
            self.log.record("store", "reached", revision=revision, away_ms=away_ms)
            view.changed()

    def record_store_loss(self, reason: str) -> None:
        """Record that the store is unreachable, unless that is recorded already."""
        view = self.view
        if not view.reachable and view.unreachable_since_ms:
            return
        view.reachable, view.unreachable_since_ms = False, self.clock.now_ms()
        self.log.record("store", "lost", reason=reason, revision=view.revision)
        view.changed()
