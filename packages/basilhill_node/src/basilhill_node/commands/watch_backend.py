"""Detect when the local backend server goes down and when it is available again."""

import asyncio

from basilhill.outcomes import CallReply, Reason, not_run

from basilhill_node.state import NodeState

PROBE_INTERVAL_S = 0.1


def watch_after_failure(node: NodeState, reply: CallReply) -> None:
    """Start probing the backend server if a call did not reach it or lost its connection."""
    if reply.outcome.is_ok() or node.backend_watched:
        return
    reason = reply.outcome.error.reason
    if reason is Reason.UNREACHABLE:
        # The probe detects a full accept queue or a restart only later, so refuse new calls now.
        set_availability(node, False)
    if reason in (Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.TRUNCATED):
        node.backend_watched = True
        node.spawn(watch_backend(node))


async def watch_backend(node: NodeState) -> None:
    """Probe every `PROBE_INTERVAL_S` seconds until the backend server responds."""
    try:
        while not await node.backend.probe():
            set_availability(node, False)
            await asyncio.sleep(PROBE_INTERVAL_S)
        set_availability(node, True)
    finally:
        node.backend_watched = False


def set_availability(node: NodeState, available: bool) -> None:
    """Set whether the backend server is available; notify peers and queued calls of a change."""
    admission = node.admission
    if admission.backend_available is available:
        return
    admission.backend_available = available
    node.log.record("admit", "", "backend server is up" if available else "backend server is down")
    node.state_changed.set()
    if not available:
        for queued in tuple(admission.queue):
            waiter = node.slot_waiters[queued.call_id]
            if not waiter.done():
                waiter.set_result(not_run(Reason.UNREACHABLE, "the backend server is down"))
