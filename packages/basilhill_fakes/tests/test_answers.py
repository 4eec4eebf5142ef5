"""Answers that arrive late and out of order reach their own callers; a wrong one is noticed."""

import asyncio
from pathlib import Path

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import Violation, wrong_answers
from basilhill_fakes.small_fleet import small_fleet

PAIRS = 10


async def send_pairs(directory: Path, **faults: bool) -> tuple[list[Event], list[Violation]]:
    """Send calls to one server that answers the second of two first; return what came back."""
    async with small_fleet(directory, executors=1) as small:
        await small.faults(small.executors[0], reverse_answers=True, **faults)
        await small.send_all(await small.tokens(2 * PAIRS))
        return small.events(), small.judge()


def overtakings(events: list[Event]) -> int:
    """Count the answers that arrived before that of a run that had started earlier."""
    started = [e.order for e in events if e.kind is EventKind.RUN_STARTED]
    answered = [e.order for e in events if e.kind is EventKind.ANSWER_RECEIVED and e.order]
    places = [started.index(order) for order in answered]
    return sum(place < max(places[:number], default=-1) for number, place in enumerate(places))


async def test_answers_out_of_order_reach_their_callers_and_swapped_ones_are_found(tmp_path):
    """Guards against answers matched by their order, and against a check that sees no mix-up.

    The backend server of the second fleet gives each of two runs the answer to the other one.
    """
    (events, violations), (swapped, found) = await asyncio.gather(
        send_pairs(tmp_path / "right"), send_pairs(tmp_path / "swapped", swap_answers=True)
    )
    assert overtakings(events) >= PAIRS
    assert violations == []
    assert found == wrong_answers(swapped)
    assert len(found) == 2 * PAIRS
