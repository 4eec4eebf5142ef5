"""Follow the platform's document and fleet list."""

import asyncio

from basilhill.commands.fleet import apply_fleet_list
from basilhill.queries.documents import split_sections

from basilhill_node.commands.apply_configuration import apply_sections
from basilhill_node.platform import PlatformClient
from basilhill_node.state import NodeState


async def follow_document(node: NodeState, platform: PlatformClient) -> None:
    """Apply each revision of the document until cancelled."""
    revision = 0
    while True:
        read = await platform.watch_document(revision)
        if read.is_error():
            node.log.record("config", "", "platform not readable", read.error)
            await asyncio.sleep(node.settings.platform_poll_ms / 1000)
            continue
        if read.ok.number > revision:
            revision = read.ok.number
            apply_sections(node, split_sections(read.ok.text, revision))


async def follow_fleet(node: NodeState, platform: PlatformClient) -> None:
    """Apply the fleet list until cancelled."""
    while True:
        read = await platform.read_fleet()
        if read.is_error():
            node.log.record("fleet", "", "fleet list not readable", read.error)
        else:
            services = frozenset(entry.service for entry in read.ok)
            apply_fleet_list(node.fleet, node.routing, read.ok, services, node.clock.now_ms())
        await asyncio.sleep(node.settings.platform_poll_ms / 1000)
