"""Test doubles of nodes that follow a store through feeds, without a network."""

from attrs import define, field
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.balancing import LoadTable
from basilhill.clocks import SystemClock
from basilhill_node.platform.decoder import PlatformDecoder
from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.commands.follow_feed import FeedFollower
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import FRAMES_VERSION, FrameReader, Subscribe
from basilhill_node.sidecar.http_client import ConnectionPool
from basilhill_node.sidecar.positions import StorePosition
from basilhill_node.sidecar.state import (
    STORE,
    ActiveConfiguration,
    ExecutorState,
    NodeLifecycle,
    OriginState,
    SidecarSettings,
    StoreView,
)

CLOCK = SystemClock()
# Time for which entries are retained that a copy of the store lacks; longer than any test.
SETTLING_MS = 3_600_000


@define(eq=False)
class FakeStream:
    """Stream that keeps sent frames until a test delivers them."""

    peer: str = ""
    frames: list[bytes] = field(factory=list)
    is_open: bool = True

    def can_send(self) -> bool:
        return True

    def send(self, data: bytes) -> None:
        self.frames.append(data)

    def close(self) -> None:
        self.is_open = False


@define(eq=False)
class FakeStore:
    """Entries by revision of the current era: the state at each, and the change that led to it."""

    # Revision 0 means that a node knows nothing, so the first revision is 1.
    states: list[dict[str, bool]] = field(factory=lambda: [{}, {}])
    changes: list[tuple[str, bool | None]] = field(factory=lambda: [("", None)])
    era: int = 1
    # States of all eras.
    history: dict[StorePosition, dict[str, bool]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Record the first state."""
        self.history[StorePosition()] = {}
        self.record()

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, len(self.states) - 1)

    def record(self) -> None:
        """Record the last state."""
        self.history[self.position] = self.states[-1]

    def restore(self, changes: int) -> None:
        """Come back without the last changes, in a new era."""
        revision = max(1, len(self.states) - 1 - changes)
        self.states, self.changes = self.states[: revision + 1], self.changes[:revision]
        self.era += 1
        self.record()

    def change(self, server_id: str, draining: bool | None) -> None:
        state = dict(self.states[-1])
        if draining is None:
            state.pop(server_id, None)
        else:
            state[server_id] = draining
        self.states.append(state)
        self.changes.append((server_id, draining))
        self.record()


def node_settings(address: str) -> SidecarSettings:
    return SidecarSettings(
        address, address, "a", "s", f"{address}:1", 1, 2, 3, 4, "", 6_000, 0.2, 10_000, 48
    )


@define(eq=False)
class FeedNode:
    """Feed components of one node with its own directory."""

    name: str
    directory: BackendDirectory = field(factory=BackendDirectory)
    view: StoreView = field(factory=StoreView)
    stream: FakeStream | None = None
    lifecycle: NodeLifecycle = field(factory=NodeLifecycle)
    updater: ViewUpdater = field(init=False)
    publisher: FeedPublisher = field(init=False)
    follower: FeedFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        log, configuration = EventLog(CLOCK), ActiveConfiguration()
        node = node_settings(self.name)
        self.updater = ViewUpdater(
            node,
            PlatformDecoder(),
            configuration,
            self.directory,
            OriginState(LoadTable("a")),
            ExecutorState(ConnectionPool("127.0.0.1:1", CLOCK)),
            CLOCK,
            log,
        )
        self.publisher = FeedPublisher(
            configuration, self.directory, self.view, self.lifecycle, CLOCK, log
        )
        self.updater.entries_changed = self.publisher.entries_changed
        self.updater.entries_replaced = self.publisher.entries_replaced
        self.updater.version_changed = self.publisher.version_changed
        self.follower = FeedFollower(node, configuration, self.view, self.updater, CLOCK, log)
        self.follower.sender_version = FRAMES_VERSION
        self.follower.contact = self.contact
        self.follower.applied = self.publisher.publish

    def contact(self, _age_ms: int, _is_proof: bool = True) -> None:
        self.view.reachable = True

    def watch(self, store: FakeStore) -> None:
        """Apply the changes of the store since the last revision, as one batch of a watch does."""
        if self.view.revision == 0 or self.view.position.era != store.era:
            self.read(store)
            return
        self.leave()
        self.view.source = STORE
        changes = store.changes[self.view.revision :]
        self.contact(0)
        for server_id, draining in changes:
            if draining is None:
                self.updater.remove(server_id, STORE)
            else:
                self.updater.put(entry(server_id, draining), STORE)
        self.publisher.publish(store.position)

    def read(self, store: FakeStore) -> None:
        """Replace the state by that of the store, as after a start or a gap in the history."""
        self.leave()
        self.view.source = STORE
        self.contact(0)
        entries = [entry(*item) for item in store.states[-1].items()]
        if store.position.begins_era(self.view.position):
            self.view.settling_until_ms = CLOCK.now_ms() + SETTLING_MS
            self.updater.replace_from_copy(
                entries, self.view.settling_until_ms, store.position, STORE
            )
        else:
            self.updater.replace(entries, 0)
        self.publisher.publish(store.position)

    def subscribe(self, other: "FeedNode", states_era: bool = True) -> None:
        """Leave the feed of this node and subscribe to another one."""
        self.leave()
        self.stream = FakeStream()
        position = self.view.position
        era = position.era if states_era else None
        subscription = Subscribe(self.name, 0, position.revision, era)
        other.publisher.subscribe(self.stream, subscription)

    def leave(self) -> None:
        """Drop the stream with the frames that were not delivered."""
        self.stream = None
        self.view.source = ""

    def deliver(self) -> None:
        """Receive the next frame of the feed, if any."""
        if self.stream is not None and self.stream.frames:
            for kind, fields in FrameReader().feed(self.stream.frames.pop(0)):
                self.follower.handle(self.stream, kind, fields)
            if not self.stream.is_open:
                self.leave()

    def state(self) -> dict[str, bool]:
        return {key: found.draining for key, found in self.directory.entries.items()}

    def registered(self) -> dict[str, bool]:
        """Return the state without the entries that a copy of the store lacks."""
        retained = self.directory.retained_until_ms
        return {key: draining for key, draining in self.state().items() if key not in retained}


def entry(server_id: str, draining: bool = False) -> BackendEntry:
    return BackendEntry(server_id, "s", f"10.0.0.{server_id}:1", "a", 10, draining)
