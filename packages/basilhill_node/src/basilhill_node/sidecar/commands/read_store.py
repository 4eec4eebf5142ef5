"""Application of what the platform's store returns, and proof that nothing is missing."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, TypeVar

from attrs import define, field
from basilhill.backends import BackendEntry
from basilhill.clocks import Clock
from basilhill.queries.backends import known_entry, removed_at

from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.positions import StatedEra, StorePosition
from basilhill_node.sidecar.state import STORE, FollowStage, StoreView
from basilhill_node.sidecar.store import (
    HistoryExpiredError,
    Store,
    StoreDecoder,
    StoredItem,
    StoreEvents,
    StoreFailedError,
)

# Time from the last failure of the store until entries missing after the outage are removed.
# Servers register again within about 2 s after the store has recovered, and 3 s after it a server
# that has left must not be in use.
REGISTRATION_GRACE_MS = 2_800
# Shortest time from the beginning of a stage to a check: after a pause, a watch often returns
# changes at once.
CHECK_WAIT_MS = 100

T = TypeVar("T")


@define(eq=False)
class StoreReader:
    """Reader of the store that applies its items and changes, and records when it responded."""

    store: Store
    decoder: StoreDecoder
    updater: ViewUpdater
    publisher: FeedPublisher
    view: StoreView
    clock: Clock
    log: EventLog
    # Set while the store responds to this node itself, and while it does not.
    access: asyncio.Event = field(factory=asyncio.Event)
    no_access: asyncio.Event = field(factory=asyncio.Event)
    # Problem of the last era that could not be read.
    era_problem: str = ""

    async def read(self) -> None:
        """Read all items of the store and apply them."""
        self.enter(FollowStage.READING)
        started_ms = self.clock.now_ms()
        position, was_lost = None, bool(self.view.unreachable_since_ms)
        entries = []
        async for page in self.store.read():
            found = self.stated_position(page.revision, page.era)
            position = position or found
            if found < self.view.position:
                raise StoreFailedError(f"store returned {found}, {self.view.position} is known")
            if found.era != position.era:
                raise HistoryExpiredError(f"store began era {found.era} while it was read")
            entries += self.apply_items(page.items)
        position = position or self.view.position
        self.record_left_servers()
        now_ms = self.clock.now_ms()
        self.view.source = STORE
        self.record_response()
        # Entries that expired during an outage of the store may be registered again shortly.
        retained_until_ms = self.view.failed_ms + REGISTRATION_GRACE_MS
        if position.begins_era(self.view.position):
            # Servers write the entries again that the copy lacks.
            if not was_lost:
                retained_until_ms = started_ms + REGISTRATION_GRACE_MS
            self.view.settling_until_ms = retained_until_ms
            self.updater.replace_from_copy(entries, retained_until_ms, position, STORE)
        else:
            self.updater.replace(entries, retained_until_ms if retained_until_ms > now_ms else 0)
        self.record_verified(started_ms)
        self.publisher.publish(position)

    async def watch(self, wait_ms: int, check_age_ms: int) -> int:
        """Wait for changes of the store and apply them; return how many there were.

        A check that finds changes ends the watch, whose connection may be unresponsive.
        """
        started_ms = self.clock.now_ms()
        position = self.view.position
        watching = self.store.watch(position.revision, wait_ms)
        changes = await self.while_verified(
            watching, check_age_ms, self.check, lambda: self.view.position > position
        )
        if changes is None:
            self.log.record("store", "watch replaced", revision=self.view.revision)
            return 0
        self.view.source = STORE
        return self.apply(changes, started_ms)

    async def check(self) -> None:
        """Apply the changes that this node does not know, if any.

        The response is not stale, so it proves that all changes made before the request are
        applied.
        """
        started_ms = self.clock.now_ms()
        changes = await self.store.changes(self.view.revision)
        self.apply(changes, started_ms)

    async def while_verified(
        self,
        stage: Coroutine[Any, Any, T],
        age_ms: float,
        check: Callable[[], Coroutine[Any, Any, None]],
        is_over: Callable[[], bool] = lambda: False,
    ) -> T | None:
        """Return the result of a stage, or None if it is over after a check.

        While the stage lasts and the store responds to this node, check the store whenever the last
        proof that all changes are applied is older than `age_ms`. Raise what a check raises.
        """
        running = asyncio.create_task(stage)
        tasks = {running}
        try:
            while True:
                await self.wait_until_unverified(running, age_ms)
                if running.done():
                    return running.result()
                checking = asyncio.create_task(check())
                tasks = {running, checking}
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                if running.done():
                    return running.result()
                checking.result()
                if is_over():
                    return None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_unverified(self, running: asyncio.Task, age_ms: float) -> None:
        """Wait until a task is done, or a proof older than `age_ms` can be renewed."""
        while not running.done():
            if self.view.access_lost:
                regained = asyncio.create_task(self.access.wait())
                await asyncio.wait({running, regained}, return_when=asyncio.FIRST_COMPLETED)
                regained.cancel()
                continue
            due_ms = self.view.verified_ms + age_ms - self.clock.now_ms()
            await asyncio.wait({running}, timeout=max(CHECK_WAIT_MS, due_ms) / 1000)
            if self.clock.now_ms() - self.view.verified_ms >= age_ms:
                return

    def apply(self, changes: StoreEvents, started_ms: int) -> int:
        """Apply the changes that are not known yet; return how many the response had.

        A watch and a check can return the same changes. Raise HistoryExpiredError for a response of
        a later era, whose earlier changes are missing, and StoreFailedError for one of an earlier
        era.
        """
        known = self.view.position
        position = self.stated_position(changes.revision, changes.era)
        if position.era > known.era:
            raise HistoryExpiredError(f"store is in era {position.era}, {known.era} is known")
        if position.era < known.era:
            raise StoreFailedError(f"store returned era {position.era}, {known.era} is known")
        self.record_response()
        self.record_left_servers()
        for item in changes.events:
            if item.revision > known.revision:
                self.apply_event(item)
        self.record_verified(started_ms)
        self.publisher.publish(max(known, position))
        if not changes.events:
            # Followers get the proof at once, so that they do not check the store themselves.
            self.publisher.send_heartbeat()
        return len(changes.events)

    def stated_position(self, revision: int, era: StatedEra) -> StorePosition:
        """Return the position of a response; log the problem of its era once."""
        if era.problem and era.problem != self.era_problem:
            self.log.record("store", "era ignored", problem=era.problem)
        self.era_problem = era.problem
        return era.position(revision, self.view.position)

    def apply_items(self, items: Iterable[StoredItem]) -> list[BackendEntry]:
        """Apply the configuration among items of the store; return their server entries."""
        entries = []
        for item in items:
            if item.key == self.decoder.configuration_key:
                self.updater.apply_configuration(item.value or b"", STORE)
            elif item.key.startswith(self.decoder.entry_prefix):
                entry = self.decode_entry(item)
                if entry is not None:
                    entries.append(entry)
        return entries

    def apply_event(self, item: StoredItem) -> None:
        if item.key == self.decoder.configuration_key:
            if item.value is not None:
                self.updater.apply_configuration(item.value, STORE)
            return
        if not item.key.startswith(self.decoder.entry_prefix):
            return
        entry = None if item.value is None else self.decode_entry(item)
        if entry is None:
            # An invalid entry removes the server that its key registered before.
            self.updater.remove(item.key.removeprefix(self.decoder.entry_prefix), STORE)
        else:
            self.updater.put(entry, STORE)

    def decode_entry(self, item: StoredItem) -> BackendEntry | None:
        """Return the server entry of an item; log and return None if it names no server."""
        server_id = item.key.removeprefix(self.decoder.entry_prefix)
        result = self.decoder.decode_entry(server_id, item.value or b"", self.clock.now_ms())
        problem = result.error if result.is_error() else self.foreign_problem(result.ok)
        if problem:
            self.log.record("servers", "entry ignored", problem=problem)
            return None
        return result.ok

    def foreign_problem(self, entry: BackendEntry) -> str:
        """Return why an entry cannot be of the server that wrote the one before, empty if it can.

        A server either states its start time in all entries or in none.
        """
        known = known_entry(self.updater.directory, entry.server_id)
        if known is None or entry.started_ms or not known.started_ms:
            return ""
        return f"the entry of {entry.server_id} has no start time"

    def record_contact(self, at_ms: int) -> None:
        """Record a response of the store, to this node or to another one."""
        view = self.view
        away_ms = at_ms - view.unreachable_since_ms if view.unreachable_since_ms else 0
        recovered, view.reachable, view.unreachable_since_ms = not view.reachable, True, 0
        view.last_contact_ms = at_ms
        if recovered:
            self.log.record(
                "store",
                "reached",
                era=view.position.era,
                revision=view.revision,
                away_ms=away_ms,
            )
            view.changed()

    def record_response(self) -> None:
        """Record that the store responded to this node."""
        self.record_contact(self.clock.now_ms())
        self.record_access(True)

    def record_left_servers(self) -> None:
        """Record that the removed servers of this VM left, since the store responds to the VM.

        The removals in the response itself do not count: its request may be from before them.
        """
        left = removed_at(self.updater.directory, self.updater.settings.backend_address)
        self.view.left_ids = frozenset(entry.server_id for entry in left)

    def record_verified(self, at_ms: int) -> None:
        """Record a proof that all changes made before a time are applied."""
        self.view.verified_ms = max(self.view.verified_ms, at_ms)

    def record_feed(self, age_ms: int, is_proof: bool) -> None:
        """Record a frame of another node, with the age in ms of what it says."""
        at_ms = self.clock.now_ms() - age_ms
        if is_proof:
            self.record_verified(at_ms)
        self.record_contact(at_ms)
        self.enter(FollowStage.FOLLOWING)

    def record_access(self, has_access: bool) -> None:
        """Record whether the store responds to this node itself."""
        if has_access:
            self.access.set()
            self.no_access.clear()
        else:
            self.access.clear()
            self.no_access.set()
        if self.view.access_lost is has_access:
            self.view.access_lost = not has_access
            self.view.changed()

    def record_loss(self, reason: str) -> None:
        """Record that the store is unreachable, unless that is recorded already."""
        view = self.view
        # The attempt that failed began up to a timeout ago, after the last response.
        view.failed_ms = max(view.failed_ms, view.last_contact_ms)
        self.record_access(False)
        if not view.reachable and view.unreachable_since_ms:
            return
        view.reachable, view.unreachable_since_ms = False, self.clock.now_ms()
        view.source = ""
        self.log.record(
            "store", "lost", reason=reason, era=view.position.era, revision=view.revision
        )
        view.changed()

    def enter(self, stage: FollowStage, **inputs: Any) -> None:
        """Record the beginning of a stage with what this node knows at that time."""
        view = self.view
        if view.stage is stage and not inputs:
            return
        view.stage = stage
        self.log.record(
            "store",
            "stage",
            stage=stage.value,
            era=view.position.era,
            revision=view.revision,
            version=self.updater.active_configuration.version,
            verified_age_ms=self.clock.now_ms() - view.verified_ms,
            **inputs,
        )
