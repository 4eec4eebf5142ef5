"""Push changed sections down a tree of nodes and repair gaps by comparing digests."""

import asyncio

from basilhill.documents import Section
from basilhill.queries.fleet import monitored_readers, tree_children
from basilhill.queries.sections import (
    differing_buckets,
    sections_to_send,
    teams_to_send,
    versions_in,
)
from basilhill.sections import DigestReport, SectionBatch

from basilhill_node.commands.apply_configuration import apply_sections
from basilhill_node.queries.platform_readers import (
    choose_distant_reader,
    down_nodes,
    is_reader,
    reader_order,
)
from basilhill_node.state import NodeState, SectionLink

# Section texts sent in one batch, below gRPC's default message limit of 4 MiB.
BATCH_BYTES = 1_000_000
REQUESTED_PEERS_MAX = 3
JITTER_FACTORS = (0.75, 1.25)


def apply_and_push(
    node: NodeState, sections: tuple[Section, ...], fallbacks: tuple[Section, ...] = (), root=""
) -> None:
    """Apply sections and push those that changed to the children in the push tree."""
    changed_teams = apply_sections(node, sections, fallbacks)
    if changed_teams and (root or is_reader(node)) and not node.is_disabled("push-tree"):
        batch = build_batch(node, changed_teams, root or node.settings.node)
        push_to_children(node, batch, node.settings.node)


def build_batch(node: NodeState, teams: tuple[str, ...], root: str = "") -> SectionBatch:
    """Return the cached sections of some teams as one batch."""
    cached = [sections_to_send(node.table, team) for team in teams]
    sections = tuple(section for newest, _ in cached for section in newest)
    fallbacks = tuple(section for _, others in cached for section in others)
    return SectionBatch(sections, fallbacks, root)


def push_to_children(node: NodeState, batch: SectionBatch, parent: str) -> None:
    """Push sections to the children of a node in the tree of the data centre."""
    down = down_nodes(node) - {node.settings.node, parent}
    order = [peer for peer in reader_order(node) if peer not in down]
    for child in tree_children(order, batch.root, parent, node.settings.tree_fanout):
        node.spawn(push_to_child(node, batch, child))


async def push_to_child(node: NodeState, batch: SectionBatch, child: str) -> None:
    """Push sections to a child, or to the child's children if it is unreachable."""
    if child != node.settings.node and not await node.peers.channel(child).send_batch(batch):
        push_to_children(node, batch, child)


async def exchange_digests(node: NodeState) -> None:
    """Compare section digests with random peers until cancelled."""
    while not node.is_disabled("digests"):
        await asyncio.sleep(node.settings.digest_ms * node.random.uniform(*JITTER_FACTORS) / 1000)
        node.peers.close_idle()
        peers = [peer for peer in node.fleet.vms if peer != node.settings.node]
        chosen_peers = set(node.random.sample(peers, min(1, len(peers))))
        if is_reader(node):
            chosen_peers |= choose_distant_reader(node)
        for peer in chosen_peers:
            node.spawn(compare_with_peer(node, peer))
        keep_reader_streams(node)


def keep_reader_streams(node: NodeState) -> None:
    """Keep streams to the readers whose failure would make this node a reader."""
    order, readers = reader_order(node), node.settings.configuration_readers
    for peer in monitored_readers(order, node.settings.node, down_nodes(node), readers):
        node.peers.channel(peer).touch()


async def compare_with_peer(node: NodeState, peer: str) -> None:
    """Send section digests to a peer, unless its heartbeats carry the same digest."""
    lease = node.fleet.leases.get(peer)
    if lease is None or not lease.digest or lease.digest != node.table.summary:
        await node.peers.channel(peer).send_report(build_report(node))


def build_report(node: NodeState) -> DigestReport:
    """Return a digest report that requests a reply."""
    return DigestReport(node.table.buckets, reply_wanted=True)


def request_sections(node: NodeState) -> frozenset[str]:
    """Request missing sections from up to `REQUESTED_PEERS_MAX` peers; return these peers."""
    known = sorted({*node.fleet.vms, *node.settings.seeds} - {node.settings.node})
    chosen_peers = node.random.sample(known, min(REQUESTED_PEERS_MAX, len(known)))
    for peer in chosen_peers:
        node.spawn(node.peers.channel(peer).send_report(build_report(node)))
    return frozenset(chosen_peers)


async def receive_report(node: NodeState, link: SectionLink, peer: str, report: DigestReport):
    """Reply to a peer's digests with the versions that differ, and send the sections it lacks."""
    if report.buckets:
        differing = differing_buckets(node.table, report.buckets)
        versions = versions_in(node.table, differing)
        await link.send_report(DigestReport((), versions, differing, bool(differing)))
        return
    node.reports_received.add(peer)
    if report.reply_wanted:
        versions = versions_in(node.table, report.differing)
        await link.send_report(DigestReport((), versions, report.differing))
    await send_teams(node, link, teams_to_send(node.table, report.versions, report.differing))


async def send_teams(node: NodeState, link: SectionLink, teams: tuple[str, ...]) -> None:
    """Send the cached sections of some teams in batches of bounded size."""
    waiting: list[str] = []
    size = 0
    for team in teams:
        waiting.append(team)
        size += len(node.table.teams[team].newest.text)
        if size >= BATCH_BYTES:
            await link.send_batch(build_batch(node, tuple(waiting)))
            waiting, size = [], 0
    if waiting:
        await link.send_batch(build_batch(node, tuple(waiting)))


def receive_batch(node: NodeState, batch: SectionBatch) -> None:
    """Apply sections from a peer and push the changed ones on."""
    apply_and_push(node, batch.sections, batch.fallbacks, batch.root)
