"""Keep peer streams open to the servers that this node sends calls to."""

import asyncio

from basilhill.commands.routing import use_subset

from basilhill_node.state import NodeState

KEEP_INTERVAL_S = 1.0


def use_service(node: NodeState, service: str):
    """Return the servers of a service; open streams to them on first use.

    Servers report load and levels on their streams, so comparing two servers needs both streams.
    """
    subset = use_subset(node.routing, service, node.clock.now_ms())
    if not subset.streams_opened:
        subset.streams_opened = True
        touch_streams(node, subset)
    return subset


def touch_streams(node: NodeState, subset) -> None:
    """Reset the idle timeout of the streams to a subset."""
    for server in subset.servers:
        if server.node != node.settings.node:
            node.peers.channel(server.node).touch()


async def maintain_streams(node: NodeState) -> None:
    """Keep streams to recently used services open until cancelled."""
    while True:
        await asyncio.sleep(KEEP_INTERVAL_S)
        used_after_ms = node.clock.now_ms() - node.settings.idle_peer_ms
        for subset in tuple(node.routing.subsets.values()):
            if subset.used_ms >= used_after_ms:
                touch_streams(node, subset)
