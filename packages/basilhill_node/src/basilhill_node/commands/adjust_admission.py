"""Adjust the admission level and the concurrency limit of the local backend server."""

import asyncio

from basilhill.commands.admission import adjust_cohort_level
from basilhill.commands.fleet import record_heartbeat
from basilhill.commands.limits import adjust_limit
from basilhill.commands.poison_requests import expire_crash_records
from basilhill.commands.routing import expire_levels

from basilhill_node.commands.detect_pauses import check_pause
from basilhill_node.queries.loads import build_heartbeat
from basilhill_node.state import NodeState

# Level changes smaller than this are sent with the next regular heartbeat.
MIN_ANNOUNCED_CHANGE = 8


async def adjust_admission(node: NodeState) -> None:
    """Adjust level and limit every `level_interval_ms` until cancelled."""
    while True:
        await asyncio.sleep(node.settings.level_interval_ms / 1000)
        check_pause(node)
        now_ms = node.clock.now_ms()
        adjust_cohort_level(node.admission, now_ms)
        if node.is_disabled("levels"):
            node.admission.level = 0
        if not node.is_disabled("limit"):
            adjust_limit(node.admission, now_ms)
        expire_levels(node.routing, now_ms, node.settings.level_lifetime_ms)
        expire_crash_records(node.poison_requests, now_ms)
        announce_level_changes(node, now_ms)


def announce_level_changes(node: NodeState, now_ms: int) -> None:
    """Record this node's load for routing; trigger an early heartbeat if a level changed enough."""
    heartbeat = build_heartbeat(node)
    lease_ms = node.settings.lease_ms
    record_heartbeat(node.routing, node.settings.node, heartbeat, now_ms, lease_ms)
    levels = {level.service: level.level for level in heartbeat.levels}
    levels[node.settings.service] = heartbeat.level
    if any(
        abs(level - node.announced_levels.get(service, 0)) >= MIN_ANNOUNCED_CHANGE
        for service, level in levels.items()
    ):
        node.announced_levels = levels
        node.state_changed.set()
