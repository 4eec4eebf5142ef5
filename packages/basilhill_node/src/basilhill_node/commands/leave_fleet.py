"""Leave the fleet without interrupting calls in flight, and rejoin it after a drain."""

import asyncio

from basilhill.fleet import VmState
from basilhill.outcomes import Reason, Refusal, not_run

from basilhill_node.state import NodeState

DRAIN = "drain"
SIGNAL = "signal"
FLEET_LIST = "fleet list"
# Health responses may be late or wrong, so a drain ends only after several live responses in a row.
LIVE_RESPONSES_REQUIRED = 3
# During this time, peers and callers that have not received the leaving state get refusals instead
# of closed connections.
LINGER_MS = 1_000
REPLY_FLUSH_MS = 100
RETRY_AFTER_MS = (100, 500)


def start_leaving(node: NodeState, cause: str = SIGNAL) -> None:
    """Refuse new calls and announce the leaving state to all peers."""
    if cause not in node.leaving_causes:
        node.leaving_causes.add(cause)
        node.log.record("fleet", "", "leaving", cause)
        publish_state(node)


def stop_leaving(node: NodeState, cause: str) -> None:
    """Accept new calls again, unless another cause to leave remains."""
    if cause in node.leaving_causes:
        node.leaving_causes.discard(cause)
        node.log.record("fleet", "", "stopped leaving", cause)
        publish_state(node)


def publish_state(node: NodeState) -> None:
    """Update the leaving state from its causes and announce it to peers."""
    node.leaving = bool(node.leaving_causes)
    local_server = node.routing.servers.get(node.settings.node)
    if local_server is not None:
        local_server.leaving = node.leaving
    if not node.is_disabled("leaving-notice"):
        node.state_changed.set()


def follow_own_entry(node: NodeState) -> None:
    """Leave or rejoin according to this node's entry in the fleet list."""
    entry = node.fleet.vms.get(node.settings.node)
    if entry is not None and entry.state is VmState.LEAVING:
        start_leaving(node, FLEET_LIST)
    elif entry is not None:
        stop_leaving(node, FLEET_LIST)


async def follow_drain(node: NodeState) -> None:
    """Leave the fleet while the backend server reports that it drains, until cancelled."""
    live_responses = 0
    while not node.is_disabled("drain"):
        draining = await node.backend.is_draining()
        if draining:
            live_responses = 0
            start_leaving(node, DRAIN)
        elif draining is False:
            live_responses += 1
            if live_responses >= LIVE_RESPONSES_REQUIRED:
                stop_leaving(node, DRAIN)
        await asyncio.sleep(node.settings.heartbeat_ms / 1000)


def leaving_refusal(node: NodeState) -> Refusal | None:
    """Return the refusal of a new call if this node is leaving."""
    if not node.leaving:
        return None
    return not_run(Reason.LEAVING, "the server is leaving", node.random.randint(*RETRY_AFTER_MS))


async def finish_calls(node: NodeState) -> None:
    """Wait until no call is in flight, at most `shutdown_ms`."""
    try:
        async with asyncio.timeout(node.settings.shutdown_ms / 1000):
            await asyncio.sleep(LINGER_MS / 1000)
            finished = False
            while not finished:
                await node.idle.wait()
                # The replies and responses of the last calls are sent during this time.
                await asyncio.sleep(REPLY_FLUSH_MS / 1000)
                finished = node.idle.is_set() and not node.coordinated_runs
    except TimeoutError:
        node.log.record(
            "fleet",
            "",
            f"{node.open_calls} calls aborted",
            f"not done within {node.settings.shutdown_ms} ms",
        )
