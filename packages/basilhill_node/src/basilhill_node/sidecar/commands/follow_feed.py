"""Following of the store through the feed of another node."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Any

from attrs import define, field
from basilhill.clocks import Clock

from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    ERA_VERSION,
    PING,
    Feed,
    FrameKind,
    decode_entry_row,
    encode_frame,
)
from basilhill_node.sidecar.positions import StorePosition
from basilhill_node.sidecar.state import ActiveConfiguration, SidecarSettings, StoreView
from basilhill_node.sidecar.streams import StreamConnection

CONNECT_TIMEOUT_S = 0.5
CHECK_S = 0.1
# A feed without frames for this long has failed: heartbeats come every 400 ms. The strictest bound
# for applying a change is 2 s, which includes the pause of the sender after its last watch.
FEED_SILENCE_MS = 900
# A node that is asked first reads the store, whose responses take up to 0.3 s when it is slow.
FEED_START_MS = 600
# Time for which a node whose feed failed is asked last.
FEED_PENALTY_MS = 10_000
# A feed whose revision is below that of this node for this long is left.
FEED_BEHIND_MS = 1_000


class FeedEnd(Enum):
    """How a feed ended: before its first frame, up to date, or possibly without some changes."""

    NOT_BEGUN = "not begun"
    CURRENT = "current"
    FAILED = "failed"


@define(eq=False)
class FeedFollower:
    """Receiver of the changes of the store that another node reads."""

    settings: SidecarSettings
    active_configuration: ActiveConfiguration
    view: StoreView
    updater: ViewUpdater
    clock: Clock
    log: EventLog
    connection: StreamConnection | None = None
    fed_ms: int = 0
    live: bool = False
    # Whether the sender ended the feed while it was up to date.
    ended_current: bool = False
    behind_since_ms: int = 0
    # Times of the last failures of feeds, by host.
    failed_ms: dict[str, int] = field(factory=dict)
    # Set if the entry of the local backend server was removed: this VM may have lost the store.
    store_in_doubt: bool = False
    # Version of the sender's frames; those of version 0 carry no age of a proof.
    sender_version: int = 0
    # Called with the age in ms of what a frame says, and whether it is a proof that the sender knew
    # all changes of the store then.
    contact: Callable[[int, bool], None] = field(default=lambda _age_ms, _is_proof: None)
    # Called with the position of a frame when all its changes are applied.
    applied: Callable[[StorePosition], None] = field(default=lambda _position: None)

    @property
    def is_live(self) -> bool:
        """Return whether a feed is followed that has sent a frame."""
        return self.live and self.connection is not None

    def working_first(self, hosts: list[str]) -> list[str]:
        """Return hosts in order, those whose feed failed recently last."""
        oldest_ms = self.clock.now_ms() - FEED_PENALTY_MS
        self.failed_ms = {host: ms for host, ms in self.failed_ms.items() if ms > oldest_ms}
        return sorted(hosts, key=lambda host: self.failed_ms.get(host, 0))

    async def follow(self, host: str) -> FeedEnd:
        """Follow the feed of the node on a host until it ends; return how it ended."""
        loop = asyncio.get_running_loop()
        self.live, self.ended_current, self.behind_since_ms = False, False, 0
        self.sender_version = 0
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: StreamConnection(self.clock, self.handle, self.greet, self.record),
                    host,
                    self.settings.peer_port,
                )
        except (OSError, TimeoutError) as error:
            self.log.record("feed", "cannot connect", host=host, problem=repr(error))
            self.failed_ms[host] = self.clock.now_ms()
            return FeedEnd.NOT_BEGUN
        self.connection = connection
        self.fed_ms = self.clock.now_ms()
        try:
            problem = await self.watch(connection)
            if problem:
                self.record(problem)
                self.failed_ms[host] = self.clock.now_ms()
        finally:
            self.connection = None
            self.view.source = ""
            connection.close()
        if not self.live:
            return FeedEnd.NOT_BEGUN
        return FeedEnd.CURRENT if self.ended_current else FeedEnd.FAILED

    def greet(self, connection: StreamConnection) -> None:
        """Ask for the version of the sender, which decides how this node subscribes."""
        connection.send(PING)

    def subscribe(self, connection: StreamConnection) -> None:
        """Ask for the changes after the position of this node."""
        position = self.view.position
        fields = [self.settings.node, self.active_configuration.version, position.revision]
        if self.sender_version >= ERA_VERSION:
            fields.append(position.era)
        connection.send(encode_frame(FrameKind.SUBSCRIBE, *fields))

    async def watch(self, connection: StreamConnection) -> str:
        """Wait until the feed is closed, silent, or behind this node; return the problem."""
        while not connection.closed.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_S):
                    await connection.closed.wait()
            now_ms = self.clock.now_ms()
            silent_ms = now_ms - self.fed_ms
            if silent_ms > (FEED_SILENCE_MS if self.live else FEED_START_MS):
                return f"silent for {silent_ms} ms"
            if self.behind_since_ms and now_ms - self.behind_since_ms > FEED_BEHIND_MS:
                return f"behind {self.view.position}"
        return ""

    def handle(self, connection: StreamConnection, kind: FrameKind, fields: list[Any]) -> None:
        if kind is FrameKind.FEED:
            self.receive(connection, Feed(*fields))
        elif kind is FrameKind.FEED_END:
            reason, was_current = fields
            self.ended_current = was_current
            self.record(f"ended by the sender: {reason}")
            connection.close()
        elif kind is FrameKind.PONG:
            self.sender_version = fields[0] if fields else 0
            self.subscribe(connection)
        elif kind is FrameKind.HELLO:
            connection.peer = fields[0]

    def receive(self, connection: StreamConnection, feed: Feed) -> None:
        """Apply the changes of a FEED frame, unless this node knows a later revision."""
        now_ms = self.fed_ms = self.clock.now_ms()
        source = connection.peer
        entries = [decode_entry_row(row, now_ms) for row in feed.rows]
        if feed.configuration:
            self.updater.apply_configuration(feed.configuration, source)
        known = self.view.position
        position = feed.position(known)
        if position < known:
            self.behind_since_ms = self.behind_since_ms or now_ms
            return
        begins_era = position.begins_era(known)
        if begins_era and not feed.complete:
            self.record(f"sent changes of era {position.era}, {known.era} is known")
            self.stop()
            return
        self.behind_since_ms = 0
        if not self.live:
            self.live = True
            self.log.record(
                "feed", "followed", source=source, era=position.era, revision=position.revision
            )
        self.view.source = source
        self.contact(feed.age_ms, self.sender_version > 0)
        was_listed = self.lists_local_server()
        if begins_era:
            self.view.settling_until_ms = now_ms + feed.retained_ms
            self.updater.replace_from_copy(entries, now_ms + feed.retained_ms, position, source)
        elif feed.complete:
            self.updater.replace(entries, 0, source)
        else:
            for entry in entries:
                self.updater.put(entry, source)
            for server_id in feed.removed_ids:
                self.updater.remove(server_id, source)
        # The revision of a sender without eras may be one of another era than the known one.
        self.applied(known if feed.era is None else position)
        if self.lists_local_server():
            # A later removal can mean that the VM has lost the store.
            self.view.left_ids = frozenset()
        elif was_listed:
            self.store_in_doubt = True
            self.stop()

    def lists_local_server(self) -> bool:
        """Return whether the local backend server is listed."""
        address = self.settings.backend_address
        return address in self.updater.directory.newest_by_address

    def stop(self) -> None:
        """End the feed, so that this node reads the store by itself."""
        if self.connection is not None:
            self.connection.close()

    def record(self, event: str) -> None:
        self.log.record("feed", event, source=self.connection.peer if self.connection else "")
