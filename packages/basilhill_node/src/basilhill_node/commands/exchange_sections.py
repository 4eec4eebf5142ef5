"""Push changed sections down a tree and repair gaps by digests."""

import asyncio

from basilhill.documents import Section
from basilhill.queries.fleet import tree_children, watched_by
from basilhill.queries.sections import (
    differing_buckets,
    held_sections,
    teams_to_send,
    versions_in,
)
from basilhill.sections import DigestReport, SectionBatch

from basilhill_node.commands.apply_configuration import apply_sections
from basilhill_node.queries.readers import distant_reader, down_nodes, is_reader, own_order
from basilhill_node.state import NodeState, SectionLink

# Below the limit of 4 MiB that gRPC sets to one message by default.
BATCH_BYTES = 1_000_000
ASKED_PEERS = 3
JITTER = (0.75, 1.25)


def take_offered(
    node: NodeState, sections: tuple[Section, ...], fallbacks: tuple[Section, ...] = (), root=""
) -> None:
    """Apply sections and pass on those that were news to this node."""
    taken = apply_sections(node, sections, fallbacks)
    if taken and (root or is_reader(node)) and not node.disabled("push-tree"):
        batch = batch_of(node, taken, root or node.settings.node)
        push_below(node, batch, node.settings.node)


def batch_of(node: NodeState, teams: tuple[str, ...], root: str = "") -> SectionBatch:
    """Return all that is held of some teams."""
    held = [held_sections(node.table, team) for team in teams]
    sections = tuple(section for newest, _ in held for section in newest)
    fallbacks = tuple(section for _, others in held for section in others)
    return SectionBatch(sections, fallbacks, root)


def push_below(node: NodeState, batch: SectionBatch, parent: str) -> None:
    """Push sections to the children of a node in the tree of the data centre."""
    down = down_nodes(node) - {node.settings.node, parent}
    order = [peer for peer in own_order(node) if peer not in down]
    for child in tree_children(order, batch.root, parent, node.settings.tree_fanout):
        node.spawn(push_to(node, batch, child))


async def push_to(node: NodeState, batch: SectionBatch, child: str) -> None:
    """Push sections to a child, or to its children when it cannot be reached."""
    if child != node.settings.node and not await node.peers.channel(child).send_batch(batch):
        push_below(node, batch, child)


async def exchange_digests(node: NodeState) -> None:
    """Compare sections with random peers until cancelled."""
    while not node.disabled("digests"):
        await asyncio.sleep(node.settings.digest_ms * node.random.uniform(*JITTER) / 1000)
        node.peers.close_idle()
        peers = [peer for peer in node.fleet.vms if peer != node.settings.node]
        asked = set(node.random.sample(peers, min(1, len(peers))))
        if is_reader(node):
            asked |= distant_reader(node)
        for peer in asked:
            node.spawn(compare_with(node, peer))
        watch_readers(node)


def watch_readers(node: NodeState) -> None:
    """Keep streams to the nodes whose silence makes this node a reader."""
    order, readers = own_order(node), node.settings.configuration_readers
    for peer in watched_by(order, node.settings.node, down_nodes(node), readers):
        node.peers.channel(peer).touch()


async def compare_with(node: NodeState, peer: str) -> None:
    """Tell a peer what this node holds, unless its heartbeats say the same."""
    lease = node.fleet.leases.get(peer)
    if lease is None or not lease.digest or lease.digest != node.table.summary:
        await node.peers.channel(peer).send_report(own_report(node))


def own_report(node: NodeState) -> DigestReport:
    """Return a report that asks for an answer."""
    return DigestReport(node.table.buckets, reply_wanted=True)


def ask_for_sections(node: NodeState) -> frozenset[str]:
    """Ask some peers at once for what this node lacks; return them."""
    known = sorted({*node.fleet.vms, *node.settings.seeds} - {node.settings.node})
    asked = node.random.sample(known, min(ASKED_PEERS, len(known)))
    for peer in asked:
        node.spawn(node.peers.channel(peer).send_report(own_report(node)))
    return frozenset(asked)


async def receive_report(node: NodeState, link: SectionLink, peer: str, report: DigestReport):
    """Answer what a peer holds with what it lacks."""
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
    """Send what is held of some teams in batches of bounded size."""
    waiting: list[str] = []
    size = 0
    for team in teams:
        waiting.append(team)
        size += len(node.table.teams[team].newest.text)
        if size >= BATCH_BYTES:
            await link.send_batch(batch_of(node, tuple(waiting)))
            waiting, size = [], 0
    if waiting:
        await link.send_batch(batch_of(node, tuple(waiting)))


def receive_batch(node: NodeState, batch: SectionBatch) -> None:
    """Take the sections that a peer sent."""
    take_offered(node, batch.sections, batch.fallbacks, batch.root)
