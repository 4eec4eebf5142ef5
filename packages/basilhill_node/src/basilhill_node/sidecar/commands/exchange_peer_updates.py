"""Exchange of state updates with peers, for nodes that cannot reach the store."""

from collections.abc import Iterable
from typing import Any

from attrs import define, field
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.clocks import Clock
from basilhill.commands.backends import set_detached
from basilhill.commands.poison_requests import apply_crash_report
from basilhill.poison_requests import CrashReport, PoisonRequestTable
from basilhill.queries.backends import removed_at

from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    FrameKind,
    Hello,
    decode_entry_row,
    encode_entry,
    encode_frame,
)
from basilhill_node.sidecar.state import ActiveConfiguration, SidecarSettings, StoreView
from basilhill_node.sidecar.streams import StreamConnection

# Maximum number of removed server ids in an ENTRIES frame, which carries the most recent ones.
MAX_REMOVED_IDS = 50


@define(eq=False)
class PeerState:
    """State that a peer reported about itself on one stream."""

    version: int
    store_reachable: bool
    backend_address: str = ""


@define(eq=False)
class PeerUpdateExchange:
    """Sender and receiver of state updates on all peer streams.

    Peers that cannot reach the store also get server entries and configurations.
    """

    settings: SidecarSettings
    active_configuration: ActiveConfiguration
    directory: BackendDirectory
    store: StoreView
    poison_requests: PoisonRequestTable
    updater: ViewUpdater
    clock: Clock
    log: EventLog
    peers: dict[StreamConnection, PeerState] = field(factory=dict)

    def encode_hello(self) -> bytes:
        """Return a HELLO frame with the active version and whether the store is reachable."""
        return encode_frame(
            FrameKind.HELLO,
            self.settings.node,
            self.settings.service,
            self.active_configuration.version,
            self.store.has_access,
            self.partitioned_address(),
        )

    def partitioned_address(self) -> str:
        """Return the address at which peers may use a deregistered server, empty if it left.

        A node that lost the store cannot know whether an entry expired for that reason, unless the
        store responded to it after the removal.
        """
        address = self.settings.backend_address
        removed = removed_at(self.directory, address)
        if removed and all(entry.server_id in self.store.left_ids for entry in removed):
            return ""
        return address

    def open(self, connection: StreamConnection) -> None:
        connection.send(self.encode_hello())

    def close(self, connection: StreamConnection) -> None:
        self.peers.pop(connection, None)
        self.update_detached()

    def receive(self, connection: StreamConnection, kind: FrameKind, fields: list[Any]) -> None:
        """Handle one frame that carries a state update."""
        if kind is FrameKind.HELLO:
            self.receive_hello(connection, Hello(*fields))
        elif kind is FrameKind.CONFIGURATION:
            self.updater.apply_configuration(fields[0], connection.peer)
        elif kind is FrameKind.ENTRIES and self.accepts_entries(connection):
            self.receive_entries(connection.peer, *fields)
        elif kind is FrameKind.SUSPECTS:
            report = CrashReport(fields[0], frozenset(fields[1]), fields[2])
            if apply_crash_report(self.poison_requests, report, self.clock.now_ms()):
                self.log.record("suspect", "reported by peer", fingerprint=report.fingerprint)
                # Only reports that changed the table are forwarded, so that forwarding ends once
                # every node has the report.
                self.publish_report(report)

    def receive_hello(self, connection: StreamConnection, hello: Hello) -> None:
        """Record the state of a peer and send the updates that it cannot get from the store."""
        first = connection not in self.peers
        connection.peer = hello.node
        self.peers[connection] = PeerState(
            hello.version, hello.store_reachable, hello.backend_address
        )
        self.update_detached()
        if first:
            self.log.record("peer", "greeted", peer=hello.node, version=hello.version)
        if hello.version < self.active_configuration.version and not hello.store_reachable:
            connection.send(encode_frame(FrameKind.CONFIGURATION, self.active_configuration.raw))
        if not hello.store_reachable and (self.store.reachable or hello.version == 0):
            self.send_entries(connection, self.directory.entries.values())

    def send_entries(self, connection: StreamConnection, entries: Iterable[BackendEntry]) -> None:
        """Send a peer an ENTRIES frame with server entries and recently removed server ids."""
        now_ms = self.clock.now_ms()
        rows = [encode_entry(entry, now_ms) for entry in entries]
        removed_ids = list(self.directory.removed_entries)[-MAX_REMOVED_IDS:]
        connection.send(encode_frame(FrameKind.ENTRIES, rows, removed_ids))

    def accepts_entries(self, connection: StreamConnection) -> bool:
        """Return whether to apply server entries from a peer.

        A node that reaches the store itself applies none. Entries of a peer that cannot reach the
        store either are applied only while this node has none, as after its start.
        """
        peer_state = self.peers.get(connection)
        if self.store.reachable or peer_state is None:
            return False
        return peer_state.store_reachable or not self.directory.entries

    def receive_entries(self, peer: str, rows: list[list[Any]], removed_ids: list[str]) -> None:
        """Apply the server entries and removals of an ENTRIES frame."""
        now_ms = self.clock.now_ms()
        for row in rows:
            self.updater.put(decode_entry_row(row, now_ms), peer)
        for server_id in removed_ids:
            self.updater.remove(server_id, peer)

    def update_detached(self) -> None:
        """Record the servers whose node is connected and cannot reach the store."""
        detached_addresses = {
            peer_state.backend_address
            for peer_state in self.peers.values()
            if not peer_state.store_reachable
        }
        if not self.store.has_access:
            detached_addresses.add(self.partitioned_address())
        set_detached(self.directory, detached_addresses)

    def broadcast_hello(self) -> None:
        """Send HELLO to all peers after the store became reachable or unreachable.

        Peers that have a newer version or reach the store reply with the missing updates.
        """
        self.update_detached()
        frame = self.encode_hello()
        for connection in tuple(self.peers):
            connection.send(frame)

    def version_changed(self) -> None:
        """Send the active configuration to peers that cannot reach the store."""
        frame = encode_frame(FrameKind.CONFIGURATION, self.active_configuration.raw)
        for connection, peer_state in tuple(self.peers.items()):
            if (
                not peer_state.store_reachable
                and peer_state.version < self.active_configuration.version
            ):
                connection.send(frame)
                peer_state.version = self.active_configuration.version

    def entries_changed(self, server_ids: set[str]) -> None:
        """Send changed and removed servers to the peers that cannot reach the store."""
        if not self.store.reachable:
            return
        entries = self.directory.entries
        changed = [entries[key] for key in server_ids if key in entries]
        for connection, peer_state in tuple(self.peers.items()):
            if not peer_state.store_reachable:
                self.send_entries(connection, changed)

    def publish_report(self, report: CrashReport) -> None:
        """Send all peers a report about a request that may have crashed a backend server."""
        frame = encode_frame(
            FrameKind.SUSPECTS, report.fingerprint, sorted(report.crashes), report.cleared
        )
        for connection in tuple(self.peers):
            connection.send(frame)
