"""Application of configurations and server entries from the store or from peers."""

from collections.abc import Callable, Iterable

from attrs import define, field
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.clocks import Clock
from basilhill.commands.backends import (
    expire_retained,
    mark_leaving,
    put_entry,
    refute_entry,
    remove_entry,
    replace_entries,
)
from basilhill.commands.balancing import remove_target
from basilhill.commands.levels import set_highest
from basilhill.commands.store_copies import take_settled, withhold_departed
from basilhill.queries.backends import has_stated_leaving, known_entry, server_at
from basilhill.queries.workspaces import least_urgent_rank

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.positions import StorePosition
from basilhill_node.sidecar.state import (
    STORE,
    ActiveConfiguration,
    ExecutorState,
    OriginState,
    SidecarSettings,
)
from basilhill_node.sidecar.store import StoreDecoder

# Time for which a server that had left stays out of use if an older copy of the store lists it:
# twice the three heartbeats of 1.5 s after which the store drops the entry of a silent server.
COPY_EXPIRY_MS = 9_000


@define(eq=False)
class ViewUpdater:
    """Writer of the active configuration and the server directory, which logs each change."""

    settings: SidecarSettings
    decoder: StoreDecoder
    active_configuration: ActiveConfiguration
    directory: BackendDirectory
    origin: OriginState
    executor: ExecutorState
    clock: Clock
    log: EventLog
    # Called with the ids of servers that were changed or removed.
    entries_changed: Callable[[set[str]], None] = field(default=lambda _ids: None)
    # Called when all entries were replaced; changes that cancelled each other out are unknown.
    entries_replaced: Callable[[], None] = field(default=lambda: None)
    version_changed: Callable[[], None] = field(default=lambda: None)

    def apply_configuration(self, data: bytes, source: str) -> bool:
        """Activate a configuration if it is valid and newer; return whether it was activated."""
        result = self.decoder.decode_configuration(data)
        if result.is_error():
            self.log.record("config", "refused", source=source, problem=result.error)
            return False
        configuration, before = result.ok, self.active_configuration.version
        if configuration.version <= before:
            # The active version never decreases within an incarnation, even if a source reports an
            # older one.
            return False
        self.active_configuration.configuration = configuration
        self.active_configuration.raw = data
        self.active_configuration.applied_ms = self.clock.now_ms()
        self.active_configuration.source = source
        set_highest(self.origin.levels, self.executor.level, least_urgent_rank(configuration) + 1.0)
        self.log.record(
            "config",
            "activated",
            version=configuration.version,
            before=before,
            source=source,
            bytes=len(data),
        )
        self.version_changed()
        return True

    def put(self, entry: BackendEntry, source: str) -> None:
        before = self.directory.entries.get(entry.server_id)
        if before is not None and before.started_ms != entry.started_ms:
            # The server restarted as a new incarnation, so its earlier load is discarded.
            remove_target(self.origin.loads, entry.server_id)
        known = known_entry(self.directory, entry.server_id)
        had_left = known is not None and has_stated_leaving(self.directory, known)
        is_changed = put_entry(self.directory, entry)
        if had_left and not has_stated_leaving(self.directory, entry):
            self.log.record(
                "servers",
                "started again after it left",
                server=entry.server_id,
                born_ms=entry.started_ms,
                before_ms=known.started_ms,
                source=source,
            )
        if is_changed:
            self.executor.misdirected_ids.discard(entry.server_id)
            self.apply_change(entry, source)
            self.entries_changed({entry.server_id})

    def record_leaving(self, server_id: str) -> None:
        """Send a server no new calls after it stated in a response that it leaves."""
        if mark_leaving(self.directory, server_id):
            self.log.record("servers", "states that it leaves", server=server_id)

    def record_refuted(self, server_id: str) -> None:
        """Use the other servers at an address after its server refused an id as not its own."""
        if refute_entry(self.directory, server_id):
            self.log.record("servers", "is not at its address", server=server_id)
            self.update_slots()

    def remove(self, server_id: str, source: str) -> None:
        if server_id in self.directory.withheld:
            # Followers withhold the entry as well.
            self.entries_changed({server_id})
        if remove_entry(self.directory, server_id):
            remove_target(self.origin.loads, server_id)
            self.log.record("servers", "removed", server=server_id, source=source)
            self.update_slots()
            self.entries_changed({server_id})

    def replace(
        self, entries: Iterable[BackendEntry], retained_until_ms: int, source: str = "store"
    ) -> None:
        """Replace all entries; retain missing ones until `retained_until_ms` unless it is 0.

        Missing entries are retained after an outage of the store.
        """
        if self.clock.now_ms() < self.directory.withhold_until_ms:
            entries = withhold_departed(self.directory, entries)
        changed, missing = replace_entries(self.directory, entries, retained_until_ms)
        for server_id in changed:
            self.apply_change(self.directory.entries[server_id], source)
        if missing:
            self.update_slots()
            event = "missing, retained" if retained_until_ms else "removed"
            self.log.record("servers", event, servers=sorted(missing), source=source)
        self.entries_replaced()
        if changed or missing:
            self.entries_changed(changed | missing)

    def replace_from_copy(
        self,
        entries: Iterable[BackendEntry],
        retained_until_ms: int,
        position: StorePosition,
        source: str,
    ) -> None:
        """Apply all entries of a store that came back from an older copy of itself.

        Entries that the copy lacks are retained until `retained_until_ms`. Servers that had left
        stay out of use.
        """
        now_ms, listed = self.clock.now_ms(), list(entries)
        self.directory.withhold_until_ms = now_ms + COPY_EXPIRY_MS
        self.replace(listed, retained_until_ms if retained_until_ms > now_ms else 0, source)
        self.log.record(
            "store",
            "came back from a copy",
            era=position.era,
            revision=position.revision,
            version=self.active_configuration.version,
            entries=len(listed),
            withheld=sorted(self.directory.withheld),
            retained_ms=max(0, retained_until_ms - now_ms),
            source=source,
        )

    def list_settled(self, now_ms: int) -> set[str]:
        """List the withheld entries that the store still has; return the ids of their servers."""
        settled = take_settled(self.directory, now_ms)
        for entry in settled:
            self.log.record("servers", "still listed after a copy", server=entry.server_id)
            self.put(entry, STORE)
        return {entry.server_id for entry in settled}

    def expire(self, now_ms: int) -> set[str]:
        """Remove the retained servers that were not registered again; return their ids."""
        expired = expire_retained(self.directory, now_ms)
        if expired:
            self.update_slots()
            self.log.record(
                "servers", "removed, not registered after outage", servers=sorted(expired)
            )
            self.entries_changed(expired)
        return expired

    def apply_change(self, entry: BackendEntry, source: str) -> None:
        """Log a new or changed server; update the slots if it is the local backend server."""
        self.log.record(
            "servers",
            "draining" if entry.draining else "ready",
            server=entry.server_id,
            service=entry.service,
            address=entry.address,
            slots=entry.slots,
            born_ms=entry.started_ms,
            cold_ms=max(0, entry.warm_until_ms - self.clock.now_ms()),
            source=source,
        )
        if entry.address == self.settings.backend_address:
            self.update_slots()

    def update_slots(self) -> None:
        """Use the slots of the local backend server; those of its last entry if it has none."""
        settings = self.settings
        entry = server_at(self.directory, settings.backend_address, settings.service)
        if entry is not None:
            self.executor.slots.slots = entry.slots
