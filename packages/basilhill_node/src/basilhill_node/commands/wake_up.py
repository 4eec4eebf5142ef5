"""Detect that the process was stopped, before it acts on what waited in its sockets."""

from basilhill.commands.fleet import drop_reports
from basilhill.commands.transits import record_transit
from basilhill.queries.checking import MAX_TIMEOUT_MS
from basilhill.queries.transits import excess_transit_ms
from basilhill.transits import TransitMeter

from basilhill_node.commands.exchange_sections import ask_for_sections
from basilhill_node.state import NodeState

# Requests that waited in sockets during a pause are read within this time of waking.
BACKLOG_MS = 100


def check_pause(node: NodeState) -> bool:
    """Handle a jump of the clock since the last check; tell whether there was one.

    The event loop may run socket handlers before timers after a pause, so every handler of
    incoming messages calls this first; a timer calls it often enough to make a gap mean a pause.
    """
    now_ms = node.clock.now_ms()
    gap_ms, node.checked_ms = now_ms - node.checked_ms, now_ms
    if gap_ms <= node.settings.pause_ms or node.disabled("pause-check"):
        return False
    node.log.record("fleet", "", f"woke after {gap_ms} ms", "leases and levels dropped")
    node.woken_ms, node.paused_ms = now_ms, gap_ms
    drop_reports(node.fleet, node.routing)
    node.admission.level = 0
    ask_for_sections(node)
    return True


def receive_batch_time(node: NodeState, meter: TransitMeter, sent_ms: int) -> None:
    """Check for a pause and learn from the time stamp of a batch of frames."""
    check_pause(node)
    record_transit(meter, sent_ms, node.clock.now_ms())


def socket_wait_ms(node: NodeState, meter: TransitMeter, sent_ms: int) -> int:
    """Return how much longer than usual a message was on its way, for example in a pause."""
    if node.disabled("pause-check"):
        return 0
    return excess_transit_ms(meter, sent_ms, node.clock.now_ms())


def waited_ms(node: NodeState) -> int:
    """Return how long a request that is read now may have waited for a paused process."""
    recent = node.woken_ms and node.clock.now_ms() - node.woken_ms <= BACKLOG_MS
    return node.paused_ms if recent else 0


def woke_lately(node: NodeState) -> bool:
    """Tell whether a call that this node serves may have been overtaken by a later copy.

    A copy that waited during a pause is decided within its timeout after the node wakes.
    """
    return bool(node.woken_ms) and node.clock.now_ms() - node.woken_ms <= MAX_TIMEOUT_MS
