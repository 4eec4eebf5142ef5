"""Follow the configuration and the backend servers in the platform's store."""

import asyncio
from random import Random

from attrs import define, field
from basilhill.backends import BackendEntry
from basilhill.clocks import Clock

from basilhill_node.sidecar.commands.update_view import ViewUpdater
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.state import StoreView
from basilhill_node.sidecar.store import (
    HistoryExpiredError,
    Store,
    StoreDecoder,
    StoredItem,
    StoreFailedError,
)

# The longest wait that the store allows is 30 s; each call is priced.
WATCH_MS = 25_000
# Changes often come in groups; the next watch begins this long after a change, so that one call
# brings the rest of the group. The pause doubles while changes go on, as when a fleet restarts
# and each server reports several times how cold it is. The tightest bound for a change is 2 s.
COALESCE_MS = 250
COALESCE_MAX_MS = 750
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1_000
# Servers register again within about 2 s of the store's return.
REGISTRATION_GRACE_MS = 2_500
SOURCE = "store"


def next_pause_ms(pause_ms: int, events: int, waited_ms: int) -> int:
    """Return the pause after a watch: longer ones as long as changes come within them."""
    if not events:
        return 0
    if waited_ms > COALESCE_MS:
        return COALESCE_MS
    return min(COALESCE_MAX_MS, max(COALESCE_MS, 2 * pause_ms))


@define(eq=False)
class StoreFollower:
    """Keep the configuration and the directory as the store has them."""

    store: Store
    decoder: StoreDecoder
    updater: ViewUpdater
    view: StoreView
    clock: Clock
    log: EventLog
    random: Random = field(factory=Random)

    async def run(self) -> None:
        """Read everything, then watch, again after each failure, until cancelled."""
        pause_ms = RETRY_MIN_MS
        while True:
            try:
                await self.read()
                pause_ms = RETRY_MIN_MS
                await self.watch()
            except HistoryExpiredError as error:
                self.log.record("store", "reads all again", reason=str(error))
            except StoreFailedError as error:
                self.record_store_loss(str(error))
                await asyncio.sleep(pause_ms * self.random.uniform(0.5, 1.0) / 1000)
                pause_ms = min(2 * pause_ms, RETRY_MAX_MS)

    async def read(self) -> None:
        """Take everything that the store holds."""
        read = await self.store.read()
        now_ms = self.clock.now_ms()
        # After an outage, entries that lapsed meanwhile may only be late to come back.
        held_until_ms = now_ms + REGISTRATION_GRACE_MS if self.view.unreachable_since_ms else 0
        self.record_store_contact(now_ms, read.revision)
        entries = []
        for item in read.items:
            if item.key == self.decoder.configuration_key:
                self.updater.apply_configuration(item.value or b"", SOURCE)
            elif item.key.startswith(self.decoder.entry_prefix):
                entry = self.decode_entry(item)
                if entry is not None:
                    entries.append(entry)
        self.updater.replace(entries, held_until_ms)

    async def watch(self) -> None:
        """Take changes as they come until the store fails."""
        pause_ms = 0
        while True:
            held_ms = min(self.updater.directory.held_until_ms.values(), default=None)
            wait_ms = WATCH_MS
            if held_ms is not None:
                wait_ms = max(1, min(WATCH_MS, held_ms - self.clock.now_ms()))
            begun_ms = self.clock.now_ms()
            seen = await self.store.watch(self.view.revision, wait_ms)
            now_ms = self.clock.now_ms()
            self.record_store_contact(now_ms, max(self.view.revision, seen.revision))
            for item in seen.events:
                self.apply_event(item)
            self.updater.expire(now_ms)
            pause_ms = next_pause_ms(pause_ms, len(seen.events), now_ms - begun_ms)
            await asyncio.sleep(pause_ms / 1000)

    def apply_event(self, item: StoredItem) -> None:
        """Take one change."""
        if item.key == self.decoder.configuration_key:
            if item.value is not None:
                self.updater.apply_configuration(item.value, SOURCE)
            return
        if not item.key.startswith(self.decoder.entry_prefix):
            return
        entry = None if item.value is None else self.decode_entry(item)
        if entry is None:
            # What cannot be read names no server, whatever stood there before.
            self.updater.remove(item.key.removeprefix(self.decoder.entry_prefix), SOURCE)
        else:
            self.updater.put(entry, SOURCE)

    def decode_entry(self, item: StoredItem) -> BackendEntry | None:
        """Return the entry of an item, None with a log line for one that names no server."""
        server_id = item.key.removeprefix(self.decoder.entry_prefix)
        result = self.decoder.decode_entry(server_id, item.value or b"", self.clock.now_ms())
        if result.is_error():
            self.log.record("servers", "entry left out", problem=result.error)
            return None
        return result.ok

    def record_store_contact(self, now_ms: int, revision: int) -> None:
        """Record that the store answered."""
        view = self.view
        away_ms = now_ms - view.unreachable_since_ms if view.unreachable_since_ms else 0
        regained, view.reachable, view.unreachable_since_ms = not view.reachable, True, 0
        view.last_contact_ms = now_ms
        view.revision = revision
        if regained:
            self.log.record("store", "reached", revision=revision, away_ms=away_ms)
            view.changed()

    def record_store_loss(self, reason: str) -> None:
        """Record that the store does not answer."""
        view = self.view
        if not view.reachable and view.unreachable_since_ms:
            return
        view.reachable, view.unreachable_since_ms = False, self.clock.now_ms()
        self.log.record("store", "lost", reason=reason, revision=view.revision)
        view.changed()
