"""Choose readers, compute the push tree, and convert the fleet list to and from sections."""

from collections.abc import Iterable
from hashlib import blake2b

from basilhill.documents import Section
from basilhill.fleet import FleetReads, FleetView, VmEntry, VmState
from basilhill.sections import FLEET_PREFIX, SectionTable, is_shard

STABLE_READS = 3


def rendezvous_order(nodes: Iterable[str], key: str) -> list[str]:
    """Return nodes in the order of rendezvous hashing, which stays stable as nodes come and go."""
    return sorted(nodes, key=lambda node: blake2b(f"{key} {node}".encode(), digest_size=8).digest())


def rendezvous_orders(entries: Iterable[VmEntry]) -> dict[str, list[str]]:
    """Return the live nodes of each data centre in rendezvous order."""
    live: dict[str, list[str]] = {}
    for entry in entries:
        if entry.state is VmState.LIVE:
            live.setdefault(entry.data_centre, []).append(entry.node)
    return {centre: rendezvous_order(nodes, centre) for centre, nodes in live.items()}


def is_down(fleet: FleetView, node: str, now_ms: int, wait_ms: int = 0) -> bool:
    """Return whether the lease of a peer ended at least `wait_ms` ago."""
    lease = fleet.leases.get(node)
    return lease is not None and lease.until_ms + wait_ms <= now_ms


def select_readers(order: list[str], down: frozenset[str], count: int) -> list[str]:
    """Return the first nodes of an order that are not down."""
    return [node for node in order if node not in down][:count]


def monitored_readers(order: list[str], node: str, down: frozenset[str], count: int) -> list[str]:
    """Return the nodes that a stand-by reader monitors: those before it in the order."""
    up = [other for other in order if other not in down or other == node]
    if node not in up[: 2 * count]:
        return []
    return order[: order.index(node)]


def tree_children(order: list[str], root: str, node: str, fanout: int) -> list[str]:
    """Return the children of a node in the push tree below a root."""
    if root not in order:
        order = [root, *order]
    start = order.index(root)
    rotated = order[start:] + order[:start]
    if node not in rotated:
        return []
    first = rotated.index(node) * fanout + 1
    return rotated[first : first + fanout]


def fleet_shards(entries: Iterable[VmEntry]) -> dict[str, str]:
    """Return the text of one shard of the fleet list for each service."""
    lines: dict[str, list[str]] = {}
    for entry in entries:
        line = f"{entry.node} {entry.state.value} {entry.data_centre}"
        lines.setdefault(f"{FLEET_PREFIX}{entry.service}", []).append(line)
    return {shard: "\n".join(sorted(texts)) for shard, texts in lines.items()}


def differs_from_stored(table: SectionTable, shard: str, text: str) -> bool:
    """Return whether the text of a shard differs from the stored one."""
    stored = table.teams.get(shard)
    return stored is None or stored.newest.text != text


def changed_shards(
    table: SectionTable, reads: FleetReads, read: dict[str, str]
) -> tuple[Section, ...]:
    """Return the shards to push after a read, with revisions above the stored ones.

    The fleet list has no revision. A shard counts as changed if it changed between two reads of
    this reader, or if it differed from the stored one in several reads. A single read may be older
    than the state of the peers.
    """
    changed = []
    for shard, text in (read | dict.fromkeys(reads.texts.keys() - read.keys(), "")).items():
        stored = table.teams.get(shard)
        has_changed = shard in reads.texts and reads.texts[shard] != text
        is_stable = reads.differing.get(shard, 0) >= STABLE_READS
        if differs_from_stored(table, shard, text) and (stored is None or has_changed or is_stable):
            changed.append(Section(shard, stored.newest.revision + 1 if stored else 1, text))
    return tuple(changed)


def listed_vms(table: SectionTable) -> tuple[VmEntry, ...]:
    """Return the entries of the fleet list from its stored shards."""
    entries = []
    for shard, stored in table.teams.items():
        if is_shard(shard):
            service = shard.removeprefix(FLEET_PREFIX)
            for line in stored.newest.text.splitlines():
                node, state, data_centre = line.split(" ", 2)
                entries.append(VmEntry(node, service, data_centre, VmState(state)))
    return tuple(entries)
