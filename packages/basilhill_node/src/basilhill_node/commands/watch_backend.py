"""Notice that the backend server beside the node is down, and that it is back."""

import asyncio

from basilhill.verdicts import CallReply, Reason, not_run

from basilhill_node.state import NodeState

PROBE_S = 0.1


def note_outcome(node: NodeState, reply: CallReply) -> None:
    """Probe the backend server when a call could not reach it or lost its connection."""
    if reply.outcome.is_ok() or node.backend_watched:
        return
    reason = reply.outcome.error.reason
    if reason is Reason.UNREACHABLE:
        # The probe sees a full accept queue or a restart only later; refuse new work at once.
        set_able(node, False)
    if reason in (Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.TRUNCATED):
        node.backend_watched = True
        node.spawn(watch_backend(node))


async def watch_backend(node: NodeState) -> None:
    """Probe until the backend server answers."""
    try:
        while not await node.backend.probe():
            set_able(node, False)
            await asyncio.sleep(PROBE_S)
        set_able(node, True)
    finally:
        node.backend_watched = False


def set_able(node: NodeState, able: bool) -> None:
    """Tell peers and waiting calls whether the backend server takes work."""
    admission = node.admission
    if admission.able is able:
        return
    admission.able = able
    node.log.record("admit", "", "backend server is up" if able else "backend server is down")
    node.state_changed.set()
    if not able:
        for queued in tuple(admission.queue):
            waiter = node.slot_waiters[queued.call_id]
            if not waiter.done():
                waiter.set_result(not_run(Reason.UNREACHABLE, "the backend server is down"))
