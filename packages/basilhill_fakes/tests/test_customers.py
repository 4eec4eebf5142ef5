"""A customer who repeats hard is bounded, and others are not."""

import asyncio
from contextlib import suppress

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import runs_of_orders
from basilhill_fakes.small_fleet import SmallFleet, small_fleets, verdicts

BURST = 4
PERMITS = {"customer_burst": BURST, "customer_rate_per_s": 0.01}
# Far above the permits of one node, so that the bucket is what bounds the runs.
CALLS_PER_NODE = 15
ABANDON_S = 0.15


async def abandon(small: SmallFleet, order: str, node: int) -> None:
    """Send a first copy with a new token, and hang up before its answer."""
    nodes = [small.front, *small.executors]
    token = await small.sender.new_token(nodes[node])
    # The node that gets the copy is not the one that issued the token.
    sending = small.sender.copy(nodes[(node + 1) % len(nodes)], order, token)
    with suppress(TimeoutError):
        async with asyncio.timeout(ABANDON_S):
            await sending


async def repeat_hard(small: SmallFleet) -> list[Event]:
    """Abandon many calls of one customer; return what another customer gets meanwhile."""
    await small.slow_down()
    small.sender.customer = "hasty"
    for number in range(CALLS_PER_NODE):
        orders = (f"hasty-{number}-{node}" for node in range(3))
        await asyncio.gather(*(abandon(small, o, n) for n, o in enumerate(orders)))
    small.sender.customer = "patient"
    # An answer gives the permit back, so a customer who waits for answers is not bounded.
    rounds = [await small.send_all(await small.tokens(BURST)) for _ in range(2)]
    return rounds[0] + rounds[1]


def hasty_runs(small: SmallFleet) -> int:
    return runs_of_orders(small.events(), "hasty-")


async def test_abandoned_calls_of_a_customer_are_bounded_at_each_node(tmp_path):
    """Guards against a customer who fills the servers with calls that nobody waits for.

    Each call has a new token and goes through another node than the call before.
    """
    async with small_fleets(tmp_path, "customer-buckets", **PERMITS) as (small, unbounded):
        patient, _ = await asyncio.gather(repeat_hard(small), repeat_hard(unbounded))
        assert verdicts(patient) == ["answered"] * 2 * BURST
        assert BURST <= hasty_runs(small) <= 3 * BURST
        reasons = {e.reason for e in small.events() if e.kind is EventKind.ANSWER_RECEIVED}
        assert "customer-limit" in reasons
        assert small.judge() == []
        assert unbounded.judge() == []
        assert hasty_runs(unbounded) > 6 * BURST
