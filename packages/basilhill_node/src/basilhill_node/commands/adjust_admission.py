"""Move the admission level and the concurrency limit of this node's server."""

import asyncio

from basilhill.commands.admission import adjust_level
from basilhill.commands.fleet import record_heartbeat
from basilhill.commands.limits import adjust_limit
from basilhill.commands.routing import expire_levels
from basilhill.commands.suspects import expire_suspects

from basilhill_node.commands.wake_up import check_pause
from basilhill_node.queries.loads import own_heartbeat
from basilhill_node.state import NodeState

# Smaller changes of a level wait for the next regular heartbeat.
ANNOUNCED_STEP = 8


async def adjust_admission(node: NodeState) -> None:
    """Adjust at fixed intervals until cancelled."""
    while True:
        await asyncio.sleep(node.settings.level_interval_ms / 1000)
        check_pause(node)
        now_ms = node.clock.now_ms()
        adjust_level(node.admission, now_ms)
        if node.disabled("levels"):
            node.admission.level = 0
        if not node.disabled("limit"):
            adjust_limit(node.admission, now_ms)
        expire_levels(node.routing, now_ms, node.settings.level_lifetime_ms)
        expire_suspects(node.suspects, now_ms)
        announce_changes(node, now_ms)


def announce_changes(node: NodeState, now_ms: int) -> None:
    """Record the own load for routing and send a heartbeat early after a change of levels."""
    heartbeat = own_heartbeat(node)
    lease_ms = node.settings.lease_ms
    record_heartbeat(node.routing, node.settings.node, heartbeat, now_ms, lease_ms)
    levels = {level.service: level.level for level in heartbeat.levels}
    levels[node.settings.service] = heartbeat.level
    if any(
        abs(level - node.announced.get(service, 0)) >= ANNOUNCED_STEP
        for service, level in levels.items()
    ):
        node.announced = levels
        node.state_changed.set()
