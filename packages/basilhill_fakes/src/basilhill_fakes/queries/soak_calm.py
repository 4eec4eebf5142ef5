"""Which disruptions of a soak overlap a span, and whom they put out of touch."""

from collections.abc import Collection

from basilhill_fakes.soak_records import Disruption, SoakHistory

# Time that the platform allows for reconnection.
CONTACT_BOUND_MS = 3_000
RESTARTS = ("kill", "term")
# Planned work and faults of backend servers, which put no node out of touch.
HARMLESS_KINDS = (
    "configuration",
    "entry",
    "leave",
    "replace",
    "reload",
    "server rejects",
    "server resets",
)


def is_undisturbed(
    history: SoakHistory, start_ms: int, end_ms: int, planned_counts: bool = True
) -> bool:
    """Return whether no disruption overlaps a span; planned work counts by default."""
    return not any(
        overlaps(disruption, start_ms, end_ms)
        for disruption in history.disruptions
        if planned_counts or not disruption.planned
    )


def was_interrupted(history: SoakHistory, vm: int, start_ms: int, end_ms: int) -> bool:
    """Return whether the node of a VM was stopped, killed or suspended within a span."""
    return any(
        disruption.vm == vm
        and disruption.kind in (*RESTARTS, "pause")
        and overlaps(disruption, start_ms, end_ms)
        for disruption in history.disruptions
    )


def is_calm(
    history: SoakHistory, places: Collection[int | None], start_ms: int, end_ms: int
) -> bool:
    """Return whether nothing disturbs VMs, or the store if None is among them, within a span."""
    return not any(
        disruption.vm in places
        and disruption.kind not in HARMLESS_KINDS
        and overlaps(disruption, start_ms, end_ms)
        for disruption in history.disruptions
    )


def is_in_touch(history: SoakHistory, vm: int, at_ms: int) -> bool:
    """Return whether a VM and the store have been calm for the time of reconnection."""
    return is_calm(history, (None, vm), at_ms - CONTACT_BOUND_MS, at_ms)


def overlaps(disruption: Disruption, start_ms: int, end_ms: int) -> bool:
    """Return whether a disruption overlaps a span."""
    ended_ms = disruption.ended_ms
    return disruption.started_ms <= end_ms and (ended_ms is None or ended_ms >= start_ms)
