"""Leave the fleet without cutting off calls in flight, and come back after a drain."""

import asyncio

from basilhill.fleet import VmState
from basilhill.verdicts import Reason, Refusal, not_run

from basilhill_node.state import NodeState

DRAIN = "drain"
SIGNAL = "signal"
FLEET_LIST = "fleet list"
# Health answers lag and lie, so a drain ends only after several answers in a row.
LIVE_ANSWERS = 3
# Peers and callers that have not heard yet are refused in this time instead of cut off.
LINGER_MS = 1_000
QUIET_MS = 100
RETRY_AFTER_MS = (100, 500)


def start_leaving(node: NodeState, cause: str = SIGNAL) -> None:
    """Refuse new work from now on, and tell all peers."""
    if cause not in node.leaving_causes:
        node.leaving_causes.add(cause)
        node.log.record("fleet", "", "leaving", cause)
        publish_state(node)


def stop_leaving(node: NodeState, cause: str) -> None:
    """Take new work again, unless another cause to leave remains."""
    if cause in node.leaving_causes:
        node.leaving_causes.discard(cause)
        node.log.record("fleet", "", "not leaving any more", cause)
        publish_state(node)


def publish_state(node: NodeState) -> None:
    """Act on the causes to leave and announce the state."""
    node.leaving = bool(node.leaving_causes)
    own = node.routing.servers.get(node.settings.node)
    if own is not None:
        own.leaving = node.leaving
    if not node.disabled("leaving-notice"):
        node.state_changed.set()


def follow_own_entry(node: NodeState) -> None:
    """Leave or come back as the fleet list says about this node."""
    entry = node.fleet.vms.get(node.settings.node)
    if entry is not None and entry.state is VmState.LEAVING:
        start_leaving(node, FLEET_LIST)
    elif entry is not None:
        stop_leaving(node, FLEET_LIST)


async def follow_drain(node: NodeState) -> None:
    """Leave while the backend server drains, until cancelled."""
    live_answers = 0
    while not node.disabled("drain"):
        draining = await node.backend.is_draining()
        if draining:
            live_answers = 0
            start_leaving(node, DRAIN)
        elif draining is False:
            live_answers += 1
            if live_answers >= LIVE_ANSWERS:
                stop_leaving(node, DRAIN)
        await asyncio.sleep(node.settings.heartbeat_ms / 1000)


def leaving_refusal(node: NodeState) -> Refusal | None:
    """Return the refusal of a call that has not begun on a leaving node."""
    if not node.leaving:
        return None
    return not_run(Reason.LEAVING, "the server is leaving", node.random.randint(*RETRY_AFTER_MS))


async def finish_calls(node: NodeState) -> None:
    """Wait until no call is in flight, at most for the shutdown time."""
    try:
        async with asyncio.timeout(node.settings.shutdown_ms / 1000):
            await asyncio.sleep(LINGER_MS / 1000)
            quiet = False
            while not quiet:
                await node.idle.wait()
                # Replies and responses of the last calls leave in this time.
                await asyncio.sleep(QUIET_MS / 1000)
                quiet = node.idle.is_set() and not node.coordinated_runs
    except TimeoutError:
        node.log.record("fleet", "", f"{node.open_calls} calls cut off", "shutdown time over")
