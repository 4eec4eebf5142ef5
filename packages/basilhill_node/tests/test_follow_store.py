"""Tests of the pauses between watches of the store."""

from basilhill_node.sidecar.commands.follow_store import (
    COALESCE_MAX_MS,
    COALESCE_MS,
    next_pause_ms,
)


def test_restarting_fleet_costs_few_watches():
    """Guard against one watch for every few entries that a restarted fleet writes.

    Each of 85 servers updates its remaining ramp-up time every 1.5 s, so that an event is always
    pending.
    """
    now_ms, pause_ms, watches = 0, 0, 0
    while now_ms < 10_000:
        pause_ms = next_pause_ms(pause_ms, events=20, waited_ms=4)
        now_ms += 4 + pause_ms
        watches += 1
    assert watches <= 10_000 / COALESCE_MAX_MS + 3


def test_single_change_is_followed_by_the_shortest_pause():
    """Guard against a long pause that remains after an earlier burst of changes."""
    assert next_pause_ms(COALESCE_MAX_MS, events=1, waited_ms=3_000) == COALESCE_MS
    assert next_pause_ms(0, events=1, waited_ms=3_000) == COALESCE_MS


def test_watch_that_ends_without_a_change_is_renewed_immediately():
    """Guard against a delay of the next change after a watch that timed out without one."""
    assert next_pause_ms(COALESCE_MAX_MS, events=0, waited_ms=25_000) == 0
