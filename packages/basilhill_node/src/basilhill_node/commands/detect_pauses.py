"""Detect that the process was suspended, before it handles messages queued in its sockets."""

from basilhill.commands.fleet import discard_peer_reports
from basilhill.commands.transits import record_transit
from basilhill.queries.checking import MAX_TIMEOUT_MS
from basilhill.queries.transits import excess_transit_ms
from basilhill.transits import TransitMeter

from basilhill_node.commands.exchange_sections import request_sections
from basilhill_node.state import NodeState

# Requests that were queued in sockets during a pause are read within this time after it.
BACKLOG_MS = 100


def check_pause(node: NodeState) -> bool:
    """Detect a pause of the process by the time since the last check; return whether there was one.

    After a pause the event loop may run socket handlers before timers, so every handler of
    incoming messages calls this first. Timers also call it at short intervals, so a gap above
    `pause_ms` means that the process was suspended.
    """
    now_ms = node.clock.now_ms()
    gap_ms, node.pause_checked_ms = now_ms - node.pause_checked_ms, now_ms
    if gap_ms <= node.settings.pause_ms or node.is_disabled("pause-check"):
        return False
    node.log.record(
        "fleet",
        "",
        f"resumed after a pause of {gap_ms} ms",
        f"limit {node.settings.pause_ms} ms, leases and levels dropped",
    )
    node.resumed_ms, node.pause_length_ms = now_ms, gap_ms
    discard_peer_reports(node.fleet, node.routing)
    node.admission.level = 0
    request_sections(node)
    return True


def record_batch_time(node: NodeState, meter: TransitMeter, sent_ms: int) -> None:
    """Check for a pause and record the transit time of a batch of frames."""
    check_pause(node)
    record_transit(meter, sent_ms, node.clock.now_ms())


def socket_wait_ms(node: NodeState, meter: TransitMeter, sent_ms: int) -> int:
    """Return the transit time of a message beyond the usual one, in ms, as after a pause."""
    if node.is_disabled("pause-check"):
        return 0
    return excess_transit_ms(meter, sent_ms, node.clock.now_ms())


def stalled_ms(node: NodeState) -> int:
    """Return how long a request that is read now may have waited for the suspended process."""
    recent = node.resumed_ms and node.clock.now_ms() - node.resumed_ms <= BACKLOG_MS
    return node.pause_length_ms if recent else 0


def resumed_recently(node: NodeState) -> bool:
    """Return whether a later attempt may have been served before a call that arrives now.

    An attempt that waited during a pause completes within its timeout after the node resumes.
    """
    return bool(node.resumed_ms) and node.clock.now_ms() - node.resumed_ms <= MAX_TIMEOUT_MS
