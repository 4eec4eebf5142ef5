"""Feed of changes of the store from a node that reads it to the nodes that follow."""

from collections import deque
from collections.abc import Callable

from attrs import define, field
from basilhill.backends import BackendDirectory
from basilhill.clocks import Clock

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import FrameKind, Subscribe, encode_entry, encode_frame
from basilhill_node.sidecar.positions import StorePosition
from basilhill_node.sidecar.state import STORE, ActiveConfiguration, NodeLifecycle, StoreView
from basilhill_node.sidecar.streams import StreamConnection

HEARTBEAT_S = 0.4
# Changes kept for followers that subscribe again; older followers get all entries.
HISTORY_LIMIT = 1_000


@define(eq=False)
class FeedPublisher:
    """Publisher of the changes that this node reads from the store.

    A follower is pending until this node has read the store: a node that is asked starts to read
    the store, so no other agreement on the readers is needed.
    """

    active_configuration: ActiveConfiguration
    directory: BackendDirectory
    view: StoreView
    lifecycle: NodeLifecycle
    clock: Clock
    log: EventLog
    followers: set[StreamConnection] = field(factory=set)
    pending: dict[StreamConnection, Subscribe] = field(factory=dict)
    # Followers whose frames state no era of the store.
    without_eras: set[StreamConnection] = field(factory=set)
    # Changed and removed servers with the position of the change, oldest first.
    history: deque[tuple[StorePosition, frozenset[str]]] = field(
        factory=lambda: deque(maxlen=HISTORY_LIMIT)
    )
    # Position up to which `history` is incomplete.
    history_start: StorePosition = StorePosition()
    serving_since_ms: int = 0
    # Changes that are not published yet.
    changed_ids: set[str] = field(factory=set)
    version_is_new: bool = False
    all_replaced: bool = False
    # Called when a follower subscribes to a node that does not read the store.
    wanted: Callable[[], None] = field(default=lambda: None)

    @property
    def is_wanted(self) -> bool:
        """Return whether nodes follow this node or ask for it."""
        return bool(self.followers or self.pending)

    @property
    def is_current(self) -> bool:
        """Return whether this node reads the store and the store responds."""
        return self.view.reachable and self.view.source == STORE

    def subscribe(self, connection: StreamConnection, subscription: Subscribe) -> None:
        """Register a follower, and serve it now or once this node reads the store."""
        refusal = self.refusal(subscription)
        if refusal:
            connection.send(encode_frame(FrameKind.FEED_END, refusal, False))
            return
        connection.peer = subscription.node
        self.pending[connection] = subscription
        if self.is_current:
            self.serve_pending()
        else:
            self.wanted()

    def refusal(self, subscription: Subscribe) -> str:
        """Return why this node has no feed to offer, empty if it has one."""
        if self.lifecycle.leaving:
            return "the node is stopping"
        if subscription.position(self.view.position).era > self.view.position.era > 0:
            return "the node has not read the era of the store yet"
        if self.view.unreachable_since_ms or (self.view.source and not self.view.reachable):
            return "the store is unreachable"
        return ""

    def serve_pending(self) -> None:
        """Send the pending followers the changes since their revision, or all entries."""
        if self.pending and not self.followers:
            self.serving_since_ms = self.clock.now_ms()
        for connection, subscription in tuple(self.pending.items()):
            configuration = b""
            if subscription.version < self.active_configuration.version:
                configuration = self.active_configuration.raw
            since = subscription.position(self.view.position)
            complete = not self.history_start <= since <= self.view.position
            changed: set[str] = set()
            if (
                complete
                and self.directory.retained_until_ms
                and since.era == self.view.position.era
            ):
                # A list cannot tell the retained entries from those that are registered.
                reason = "entries are retained after an outage"
                connection.send(encode_frame(FrameKind.FEED_END, reason, False))
                continue
            if complete:
                changed.update(self.directory.entries)
            else:
                for position, server_ids in self.history:
                    if position >= since:
                        changed |= server_ids
            states_era = subscription.era is not None
            connection.send(self.encode_feed(changed, configuration, complete, states_era))
            self.followers.add(connection)
            if not states_era:
                self.without_eras.add(connection)
            self.log.record(
                "feed",
                "follower served",
                peer=subscription.node,
                era=self.view.position.era,
                revision=self.view.revision,
                since_era=since.era,
                since=since.revision,
                entries=len(changed),
                complete=complete,
            )
        self.pending.clear()

    def encode_feed(
        self, server_ids: set[str], configuration: bytes, complete: bool, states_era: bool = True
    ) -> bytes:
        """Return a FEED frame with the current entries of servers, or their removals.

        Retained entries are left out: a follower may know that they are removed.
        """
        now_ms, entries = self.clock.now_ms(), self.directory.entries
        registered = server_ids & entries.keys() - self.directory.retained_until_ms.keys()
        rows = [encode_entry(entries[key], now_ms) for key in registered]
        removed_ids = [key for key in server_ids if key not in entries]
        fields = [
            self.view.revision,
            now_ms - self.view.verified_ms,
            complete,
            configuration,
            rows,
            removed_ids,
        ]
        if states_era:
            fields += [self.view.position.era, max(0, self.view.settling_until_ms - now_ms)]
        return encode_frame(FrameKind.FEED, *fields)

    def entries_changed(self, server_ids: set[str]) -> None:
        self.changed_ids |= server_ids

    def entries_replaced(self) -> None:
        """Restart the history with the next revision: earlier changes are not known one by one."""
        self.all_replaced = True

    def version_changed(self) -> None:
        self.version_is_new = True

    def publish(self, position: StorePosition) -> None:
        """Record that all changes up to a position are applied, and send them in one frame.

        A follower knows all changes up to the position of a frame, even if the stream ends with it.
        No other code advances the position, because followers and the next watch rely on it.
        """
        begins_era = position.begins_era(self.view.position)
        self.view.position = position
        if self.all_replaced:
            self.all_replaced = False
            self.history.clear()
            self.history_start = position
        changed_ids, self.changed_ids = self.changed_ids, set()
        version_is_new, self.version_is_new = self.version_is_new, False
        if changed_ids:
            if self.history.maxlen == len(self.history):
                self.history_start = self.history[0][0].next()
            self.history.append((position, frozenset(changed_ids)))
        if not self.is_current:
            if self.followers:
                # A later heartbeat would prove this revision to followers without these changes.
                self.end("this node follows another one")
            return
        if self.followers and (changed_ids or version_is_new or begins_era):
            configuration = self.active_configuration.raw if version_is_new else b""
            self.send(changed_ids, configuration, begins_era)
        self.serve_pending()

    def send(self, changed_ids: set[str], configuration: bytes, begins_era: bool = False) -> None:
        """Send changed servers to all followers, or all in a new era; drop those that do not read.

        A follower may know other changes of the era before than this node.
        """
        server_ids = set(self.directory.entries) if begins_era else changed_ids
        frame = self.encode_feed(server_ids, configuration, begins_era)
        if self.without_eras:
            frame_without_era = self.encode_feed(changed_ids, configuration, False, False)
        for connection in tuple(self.followers):
            if connection.can_send():
                connection.send(frame_without_era if connection in self.without_eras else frame)
            else:
                self.log.record("feed", "follower does not read", peer=connection.peer)
                connection.close()

    def close(self, connection: StreamConnection) -> None:
        """Forget a follower whose stream is closed."""
        self.followers.discard(connection)
        self.without_eras.discard(connection)
        self.pending.pop(connection, None)

    def end(self, reason: str) -> None:
        """Send all followers to other nodes."""
        if not self.is_wanted:
            return
        self.log.record("feed", "ended", reason=reason, followers=len(self.followers))
        # Followers do not know which entries are retained and will be removed without a change of
        # the store, so they must read all items themselves.
        was_current = self.is_current and not self.directory.retained_until_ms
        frame = encode_frame(FrameKind.FEED_END, reason, was_current)
        for connection in self.followers | self.pending.keys():
            connection.send(frame)
        self.followers.clear()
        self.without_eras.clear()
        self.pending.clear()

    def send_heartbeat(self) -> None:
        """Send the revision to all followers."""
        self.view.followers = len(self.followers)
        if self.followers and self.is_current:
            self.send(set(), b"")
