"""Leave the fleet without cutting off calls in flight."""

import asyncio

from basilhill_node.state import NodeState


def start_leaving(node: NodeState) -> None:
    """Refuse new work from now on."""
    if not node.leaving:
        node.leaving = True
        node.log.record("fleet", "", "leaving")


async def finish_calls(node: NodeState) -> None:
    """Wait until no call is in flight, at most for the shutdown time."""
    try:
        async with asyncio.timeout(node.settings.shutdown_ms / 1000):
            await node.idle.wait()
    except TimeoutError:
        node.log.record("fleet", "", f"{node.open_calls} calls cut off", "shutdown time over")
