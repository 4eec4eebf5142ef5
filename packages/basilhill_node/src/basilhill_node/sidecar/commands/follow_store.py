"""Follow the configuration and the backend servers in the platform's store."""

import asyncio
from random import Random

from attrs import define, field
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import LoadTable
from basilhill.clocks import Clock
from basilhill.commands.backends import expire_held, put_entry, remove_entry, replace_entries
from basilhill.commands.balancing import forget_target

from basilhill_node.logs import DecisionLog
from basilhill_node.sidecar.state import ConfigurationInForce, GateState, SidecarSettings, StoreView
from basilhill_node.sidecar.store import (
    HistoryGoneError,
    Store,
    StoreDecoder,
    StoredItem,
    StoreFailedError,
)

# The longest wait that the store allows is 30 s; each call is priced.
WATCH_MS = 25_000
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1_000
# Servers register again within about 2 s of the store's return.
RETURN_MS = 2_500


@define(eq=False)
class StoreFollower:
    """Keep the configuration and the directory as the store has them."""

    settings: SidecarSettings
    store: Store
    decoder: StoreDecoder
    in_force: ConfigurationInForce
    directory: BackendDirectory
    loads: LoadTable
    gate: GateState
    view: StoreView
    clock: Clock
    log: DecisionLog
    random: Random = field(factory=Random)

    async def run(self) -> None:
        """Read everything, then watch, again after each failure, until cancelled."""
        pause_ms = RETRY_MIN_MS
        while True:
            try:
                await self.read()
                pause_ms = RETRY_MIN_MS
                await self.watch()
            except HistoryGoneError as error:
                self.log.record("store", "", "reads all again", str(error))
            except StoreFailedError as error:
                self.note_loss(str(error))
                await asyncio.sleep(pause_ms * self.random.uniform(0.5, 1.0) / 1000)
                pause_ms = min(2 * pause_ms, RETRY_MAX_MS)

    async def read(self) -> None:
        """Take everything that the store holds."""
        read = await self.store.read()
        now_ms = self.clock.now_ms()
        # After an outage, entries that lapsed meanwhile may only be late to come back.
        held_until_ms = now_ms + RETURN_MS if self.view.lost_ms else 0
        self.note_contact(now_ms, read.revision)
        entries = []
        for item in read.items:
            if item.key == self.decoder.configuration_key:
                self.apply_configuration(item.value, "store")
            elif item.key.startswith(self.decoder.entry_prefix):
                entry = self.decode_entry(item)
                if entry is not None:
                    entries.append(entry)
        changed, missing = replace_entries(self.directory, entries, held_until_ms)
        for server_id in changed:
            self.note_change(server_id)
        if missing:
            state = f"held until {held_until_ms}" if held_until_ms else "gone"
            self.log.record(
                "servers", "", f"{sorted(missing)} {state}", f"revision {read.revision}"
            )

    async def watch(self) -> None:
        """Take changes as they come until the store fails."""
        while True:
            held = min(self.directory.held_until_ms.values(), default=0)
            wait_ms = WATCH_MS
            if held:
                wait_ms = max(1, min(WATCH_MS, held - self.clock.now_ms()))
            seen = await self.store.watch(self.view.revision, wait_ms)
            now_ms = self.clock.now_ms()
            self.note_contact(now_ms, max(self.view.revision, seen.revision))
            for item in seen.events:
                self.apply_event(item)
            for server_id in expire_held(self.directory, now_ms):
                self.log.record("servers", "", f"{server_id} did not come back", "gone")

    def apply_event(self, item: StoredItem) -> None:
        """Take one change."""
        if item.key == self.decoder.configuration_key:
            if item.value is not None:
                self.apply_configuration(item.value, "store")
            return
        if not item.key.startswith(self.decoder.entry_prefix):
            return
        server_id = item.key.removeprefix(self.decoder.entry_prefix)
        if item.value is None:
            if remove_entry(self.directory, server_id):
                forget_target(self.loads, server_id)
                self.log.record("servers", "", f"{server_id} removed", f"at {item.revision}")
            return
        entry = self.decode_entry(item)
        if entry is None:
            # What cannot be read names no server, whatever stood there before.
            remove_entry(self.directory, server_id)
        elif put_entry(self.directory, entry):
            self.note_change(server_id)

    def decode_entry(self, item: StoredItem) -> BackendEntry | None:
        """Return the entry of an item, None with a log line for one that names no server."""
        server_id = item.key.removeprefix(self.decoder.entry_prefix)
        result = self.decoder.decode_entry(server_id, item.value or b"", self.clock.now_ms())
        if result.is_error():
            self.log.record("servers", "", "entry left out", result.error)
            return None
        return result.ok

    def note_change(self, server_id: str) -> None:
        """Act on a new or changed entry."""
        entry = self.directory.entries[server_id]
        state = "draining" if entry.draining else "ready"
        text = f"{server_id} of {entry.service} at {entry.address} {state}, {entry.slots} slots"
        self.log.record("servers", "", text, f"born {entry.born_ms}")
        if entry.address == self.settings.backend_address:
            self.gate.slots.slots = entry.slots
            self.gate.server_id = server_id

    def apply_configuration(self, data: bytes, source: str) -> bool:
        """Put a newer configuration in force; return whether it is."""
        result = self.decoder.decode_configuration(data)
        if result.is_error():
            self.log.record("config", "", f"refused from {source}", result.error)
            return False
        configuration = result.ok
        if configuration.version <= self.in_force.version:
            return False
        before = self.in_force.version
        self.in_force.configuration = configuration
        self.in_force.raw = data
        self.in_force.applied_ms = self.clock.now_ms()
        self.in_force.source = source
        self.log.record(
            "config",
            "",
            f"version {configuration.version} in force from {source}",
            f"after {before}, {len(data)} bytes",
        )
        return True

    def note_contact(self, now_ms: int, revision: int) -> None:
        """Record that the store answered."""
        if not self.view.reachable:
            away_ms = now_ms - self.view.lost_ms if self.view.lost_ms else 0
            self.log.record("store", "", "reached", f"revision {revision}, away {away_ms} ms")
        self.view.reachable = True
        self.view.lost_ms = 0
        self.view.read_ms = now_ms
        self.view.revision = revision

    def note_loss(self, text: str) -> None:
        """Record that the store does not answer."""
        if self.view.reachable or not self.view.lost_ms:
            self.view.lost_ms = self.clock.now_ms()
            self.log.record("store", "", "lost", text)
        self.view.reachable = False
