"""Feed of changes of the store from a node that reads it to the nodes that follow."""

from collections import deque
from collections.abc import Callable

from attrs import define, field
from basilhill.backends import BackendDirectory
from basilhill.clocks import Clock

from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import FrameKind, Subscribe, encode_entry, encode_frame
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
    # Changed and removed servers with the revision of the change, oldest first.
    history: deque[tuple[int, frozenset[str]]] = field(factory=lambda: deque(maxlen=HISTORY_LIMIT))
    # Revision up to which `history` is incomplete.
    history_start: int = 0
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
        refusal = self.refusal()
        if refusal:
            connection.send(encode_frame(FrameKind.FEED_END, refusal, False))
            return
        connection.peer = subscription.node
        self.pending[connection] = subscription
        if self.is_current:
            self.serve_pending()
        else:
            self.wanted()

    def refusal(self) -> str:
        """Return why this node has no feed to offer, empty if it has one."""
        if self.lifecycle.leaving:
            return "the node is stopping"
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
            complete = not self.history_start <= subscription.revision <= self.view.revision
            changed: set[str] = set()
            if complete and self.directory.retained_until_ms:
                # A list cannot tell the retained entries from those that are registered.
                reason = "entries are retained after an outage"
                connection.send(encode_frame(FrameKind.FEED_END, reason, False))
                continue
            if complete:
                changed.update(self.directory.entries)
            else:
                for revision, server_ids in self.history:
                    if revision >= subscription.revision:
                        changed |= server_ids
            connection.send(self.encode_feed(changed, configuration, complete))
            self.followers.add(connection)
            self.log.record(
                "feed",
                "follower served",
                peer=subscription.node,
                revision=self.view.revision,
                since=subscription.revision,
                entries=len(changed),
                complete=complete,
            )
        self.pending.clear()

    def encode_feed(self, server_ids: set[str], configuration: bytes, complete: bool) -> bytes:
        """Return a FEED frame with the current entries of servers, or their removals.

        Retained entries are left out: a follower may know that they are removed.
        """
        now_ms, entries = self.clock.now_ms(), self.directory.entries
        registered = server_ids & entries.keys() - self.directory.retained_until_ms.keys()
        rows = [encode_entry(entries[key], now_ms) for key in registered]
        removed_ids = [key for key in server_ids if key not in entries]
        return encode_frame(
            FrameKind.FEED,
            self.view.revision,
            now_ms - self.view.verified_ms,
            complete,
            configuration,
            rows,
            removed_ids,
        )

    def entries_changed(self, server_ids: set[str]) -> None:
        self.changed_ids |= server_ids

    def entries_replaced(self) -> None:
        """Restart the history with the next revision: earlier changes are not known one by one."""
        self.all_replaced = True

    def version_changed(self) -> None:
        self.version_is_new = True

    def publish(self, revision: int) -> None:
        """Record that all changes up to a revision are applied, and send them in one frame.

        A follower knows all changes up to the revision of a frame, even if the stream ends with it.
        No other code advances the revision, because followers and the next watch rely on it.
        """
        self.view.revision = revision
        if self.all_replaced:
            self.all_replaced = False
            self.history.clear()
            self.history_start = revision
        changed_ids, self.changed_ids = self.changed_ids, set()
        version_is_new, self.version_is_new = self.version_is_new, False
        if changed_ids:
            if self.history.maxlen == len(self.history):
                self.history_start = self.history[0][0] + 1
            self.history.append((revision, frozenset(changed_ids)))
        if not self.is_current:
            if self.followers:
                # A later heartbeat would prove this revision to followers without these changes.
                self.end("this node follows another one")
            return
        if self.followers and (changed_ids or version_is_new):
            configuration = self.active_configuration.raw if version_is_new else b""
            self.send(self.encode_feed(changed_ids, configuration, False))
        self.serve_pending()

    def send(self, frame: bytes) -> None:
        """Send a frame to all followers; drop those that do not read."""
        for connection in tuple(self.followers):
            if connection.can_send():
                connection.send(frame)
            else:
                self.log.record("feed", "follower does not read", peer=connection.peer)
                connection.close()

    def close(self, connection: StreamConnection) -> None:
        """Forget a follower whose stream is closed."""
        self.followers.discard(connection)
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
        self.pending.clear()

    def send_heartbeat(self) -> None:
        """Send the revision to all followers."""
        self.view.followers = len(self.followers)
        if self.followers and self.is_current:
            self.send(self.encode_feed(set(), b"", False))
