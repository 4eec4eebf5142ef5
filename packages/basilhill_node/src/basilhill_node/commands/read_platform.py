"""Read the platform's document and fleet list as a reader of a data centre."""

import asyncio

from basilhill.commands.fleet import record_fleet_read
from basilhill.commands.sections import record_complete_read
from basilhill.fleet import FleetReads
from basilhill.queries.documents import split_sections
from basilhill.queries.fleet import changed_shards, fleet_shards, is_down
from basilhill.queries.sections import changed_sections

from basilhill_node.commands.exchange_sections import (
    JITTER_FACTORS,
    apply_and_push,
    request_sections,
)
from basilhill_node.platform_client import PlatformClient, Revision
from basilhill_node.queries.platform_readers import is_reader
from basilhill_node.state import NodeState

BOOTSTRAP_POLL_MS = 50
# A watch that returns sooner without a newer revision did not wait. Repeating it immediately would
# put load on the platform.
SHORT_WATCH_MS = 1_000
# An entry of the list is about 95 bytes, so a reader reads at most 4 KB/s of the list. Every reader
# forwards the changes it reads, so a large fleet receives a change well before the next read of any
# single reader.
FLEET_READ_MS_PER_VM = 25
# Maximum number of reads that may confirm an earlier one. The document changes between reads a few
# times at most.
CONFIRMING_READS = 4


async def join_fleet(node: NodeState, platform: PlatformClient) -> None:
    """Fetch sections from peers, else from the platform, until a document is active."""
    reads = FleetReads()
    while True:
        await read_fleet(node, platform, reads)
        if await bootstrap_from_peers(node):
            return
        read = await platform.read_document()
        if read.is_ok():
            await apply_document_read(node, platform, read.ok)
        if node.document.services:
            return
        await pause_between_reads(node)


async def bootstrap_from_peers(node: NodeState) -> bool:
    """Request sections from peers; return whether they supplied a document."""
    requested_peers = request_sections(node)
    end_ms = node.clock.now_ms() + node.settings.peers_first_ms
    while node.clock.now_ms() < end_ms and not node.document.services:
        now_ms = node.clock.now_ms()
        unanswered = {
            p for p in requested_peers - node.reports_received if not is_down(node.fleet, p, now_ms)
        }
        if not unanswered:
            break
        await asyncio.sleep(BOOTSTRAP_POLL_MS / 1000)
    return bool(node.document.services)


async def follow_document(node: NodeState, platform: PlatformClient) -> None:
    """Apply new revisions of the document while this node is a reader, until cancelled."""
    await join_fleet(node, platform)
    while True:
        if not is_reader(node):
            await asyncio.sleep(
                node.settings.heartbeat_ms * node.random.uniform(*JITTER_FACTORS) / 1000
            )
            continue
        known, started_ms = node.table.complete_revision, node.clock.now_ms()
        read = await platform.watch_document(known)
        if read.is_error():
            node.log.record("config", "", "document not readable, retrying later", read.error)
            await pause_between_reads(node)
        elif read.ok.number > known or node.is_disabled("section-versions"):
            await apply_document_read(node, platform, read.ok)
        elif node.clock.now_ms() - started_ms < SHORT_WATCH_MS:
            node.log.record(
                "config",
                "",
                f"platform returned stale revision {read.ok.number}",
                f"{known} is cached",
            )
            await pause_between_reads(node)


async def apply_document_read(node: NodeState, platform: PlatformClient, read: Revision) -> None:
    """Apply the changes of a document after a second read confirmed it."""
    confirmed = await confirm_read(platform, read)
    sections = split_sections(confirmed.text, confirmed.number) if confirmed else ()
    if not any(section.team for section in sections):
        reason = "it has no team section" if confirmed else "second read failed or differed"
        node.log.record("config", "", f"document {read.number} not applied", reason)
        # A text without any team section does not remove all teams; it is only reported.
        apply_and_push(node, sections)
        await pause_between_reads(node)
        return
    if node.is_disabled("section-versions"):
        node.table.complete_revision = 0
    apply_and_push(node, changed_sections(node.table, sections, confirmed.number))
    # Set after the sections are applied, because changes below a complete revision count as stale.
    record_complete_read(node.table, confirmed.number)


async def confirm_read(platform: PlatformClient, read: Revision) -> Revision | None:
    """Return a document after two equal reads, so that a truncated read removes no section."""
    for _ in range(CONFIRMING_READS):
        second = await platform.watch_document(read.number - 1)
        if second.is_error():
            return None
        if second.ok == read:
            return read
        if second.ok.number > read.number:
            read = second.ok
    return None


async def follow_fleet(node: NodeState, platform: PlatformClient) -> None:
    """Read the fleet list at intervals while this node is a reader, until cancelled."""
    reads = FleetReads()
    while True:
        if is_reader(node):
            await read_fleet(node, platform, reads)
        await pause_between_reads(node, len(node.fleet.vms) * FLEET_READ_MS_PER_VM)


async def read_fleet(node: NodeState, platform: PlatformClient, reads: FleetReads) -> None:
    """Read the fleet list once and apply the changed shards."""
    read = await platform.read_fleet()
    if read.is_error():
        node.log.record("fleet", "", "fleet list not readable, retrying later", read.error)
        return
    shards = fleet_shards(read.ok)
    if shards:
        changed = changed_shards(node.table, reads, shards)
        record_fleet_read(reads, node.table, shards)
        apply_and_push(node, changed)


async def pause_between_reads(node: NodeState, least_ms: int = 0) -> None:
    """Wait for a jittered time, so that readers do not query the platform simultaneously."""
    wait_ms = max(node.settings.platform_poll_ms, least_ms)
    await asyncio.sleep(wait_ms * node.random.uniform(*JITTER_FACTORS) / 1000)
