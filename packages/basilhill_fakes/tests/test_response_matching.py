"""Tests that late and out-of-order responses reach the callers that sent the requests."""

import asyncio
from pathlib import Path

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import Violation, wrong_answers
from basilhill_fakes.small_fleet import small_fleet

PAIRS = 10


async def send_pairs(directory: Path, **faults: bool) -> tuple[list[Event], list[Violation]]:
    """Send calls to a server that responds in reverse order; return its events and violations."""
    async with small_fleet(directory, executors=1) as small:
        await small.set_faults(small.executors[0], reverse_answers=True, **faults)
        await small.send_all(await small.issue_tokens(2 * PAIRS))
        return small.events(), small.find_violations()


def count_out_of_order(events: list[Event]) -> int:
    """Return the number of responses that arrived after the response to a later run."""
    started = [e.order for e in events if e.kind is EventKind.RUN_STARTED]
    answered = [e.order for e in events if e.kind is EventKind.ANSWER_RECEIVED and e.order]
    positions = [started.index(order) for order in answered]
    return sum(
        position < max(positions[:number], default=-1) for number, position in enumerate(positions)
    )


async def test_responses_out_of_order_reach_their_callers_and_swapped_ones_are_found(tmp_path):
    """Guard against responses matched by arrival order, and against a check that misses this.

    The backend server of the second fleet swaps the responses to two runs.
    """
    (events, violations), (swapped, found) = await asyncio.gather(
        send_pairs(tmp_path / "right"), send_pairs(tmp_path / "swapped", swap_answers=True)
    )
    assert count_out_of_order(events) >= PAIRS
    assert violations == []
    assert found == wrong_answers(swapped)
    assert len(found) == 2 * PAIRS
