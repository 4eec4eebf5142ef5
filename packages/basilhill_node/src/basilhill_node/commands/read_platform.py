"""Follow the platform's document and fleet list on behalf of a data centre."""

import asyncio

from basilhill.commands.fleet import record_fleet_read
from basilhill.commands.sections import complete_read
from basilhill.fleet import FleetReads
from basilhill.queries.documents import split_sections
from basilhill.queries.fleet import changed_shards, fleet_shards, is_down
from basilhill.queries.sections import changed_sections

from basilhill_node.commands.exchange_sections import (
    JITTER,
    ask_for_sections,
    take_offered,
)
from basilhill_node.document_platform import PlatformClient, Revision
from basilhill_node.queries.readers import is_reader
from basilhill_node.state import NodeState

BOOT_POLL_MS = 50
# A watch that returns sooner without a newer revision is not waiting; asking again at once would
# load the platform.
SHORT_WATCH_MS = 1_000
# An entry of the list is about 95 bytes, so a reader reads at most 4 KB/s of it. All readers pass
# on what they see, so a large fleet notices a change long before one reader's turn.
FLEET_READ_MS_PER_VM = 25
# The document may change between two reads, a few times at most.
CONFIRMING_READS = 4


async def join_fleet(node: NodeState, platform: PlatformClient) -> None:
    """Get sections from peers, else from the platform; repeat until there is a document."""
    reads = FleetReads()
    while True:
        await read_fleet(node, platform, reads)
        if await ask_peers_first(node):
            return
        read = await platform.read_document()
        if read.is_ok():
            await take_document(node, platform, read.ok)
        if node.document.services:
            return
        await pause_between_reads(node)


async def ask_peers_first(node: NodeState) -> bool:
    """Ask peers for sections; tell whether they gave a document."""
    asked = ask_for_sections(node)
    end_ms = node.clock.now_ms() + node.settings.peers_first_ms
    while node.clock.now_ms() < end_ms and not node.document.services:
        now_ms = node.clock.now_ms()
        silent = {p for p in asked - node.reports_received if not is_down(node.fleet, p, now_ms)}
        if not silent:
            break
        await asyncio.sleep(BOOT_POLL_MS / 1000)
    return bool(node.document.services)


async def follow_document(node: NodeState, platform: PlatformClient) -> None:
    """Apply each revision of the document while this node is a reader, until cancelled."""
    await join_fleet(node, platform)
    while True:
        if not is_reader(node):
            await asyncio.sleep(node.settings.heartbeat_ms * node.random.uniform(*JITTER) / 1000)
            continue
        known, started_ms = node.table.complete_revision, node.clock.now_ms()
        read = await platform.watch_document(known)
        if read.is_error():
            node.log.record("config", "", "platform not readable", read.error)
            await pause_between_reads(node)
        elif read.ok.number > known or node.disabled("section-versions"):
            await take_document(node, platform, read.ok)
        elif node.clock.now_ms() - started_ms < SHORT_WATCH_MS:
            node.log.record("config", "", f"platform is stale at {read.ok.number}", f"{known} held")
            await pause_between_reads(node)


async def take_document(node: NodeState, platform: PlatformClient, read: Revision) -> None:
    """Take what a document changes, once two reads of it were equal."""
    confirmed = await confirm_read(platform, read)
    sections = split_sections(confirmed.text, confirmed.number) if confirmed else ()
    if not any(section.team for section in sections):
        reason = "it has no section of a team" if confirmed else "a second read differed"
        node.log.record("config", "", f"document {read.number} not taken", reason)
        # A text without any team is no removal of all teams; only its refusal is shown.
        take_offered(node, sections)
        await pause_between_reads(node)
        return
    if node.disabled("section-versions"):
        node.table.complete_revision = 0
    take_offered(node, changed_sections(node.table, sections, confirmed.number))
    # Only now, because changes below a complete revision count as stale.
    complete_read(node.table, confirmed.number)


async def confirm_read(platform: PlatformClient, read: Revision) -> Revision | None:
    """Return a document that was read twice alike, so that a cut one removes no section."""
    for _ in range(CONFIRMING_READS):
        again = await platform.watch_document(read.number - 1)
        if again.is_error():
            return None
        if again.ok == read:
            return read
        if again.ok.number > read.number:
            read = again.ok
    return None


async def follow_fleet(node: NodeState, platform: PlatformClient) -> None:
    """Read the fleet list while this node is a reader, until cancelled."""
    reads = FleetReads()
    while True:
        if is_reader(node):
            await read_fleet(node, platform, reads)
        await pause_between_reads(node, len(node.fleet.vms) * FLEET_READ_MS_PER_VM)


async def read_fleet(node: NodeState, platform: PlatformClient, reads: FleetReads) -> None:
    """Read the fleet list once and take what changed."""
    read = await platform.read_fleet()
    if read.is_error():
        node.log.record("fleet", "", "fleet list not readable", read.error)
        return
    shards = fleet_shards(read.ok)
    if shards:
        changed = changed_shards(node.table, reads, shards)
        record_fleet_read(reads, node.table, shards)
        take_offered(node, changed)


async def pause_between_reads(node: NodeState, least_ms: int = 0) -> None:
    """Wait for a jittered time, so that readers do not ask the platform together."""
    wait_ms = max(node.settings.platform_poll_ms, least_ms)
    await asyncio.sleep(wait_ms * node.random.uniform(*JITTER) / 1000)
