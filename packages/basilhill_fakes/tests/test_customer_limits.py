"""Tests that the calls of one customer are limited without limiting other customers."""

import asyncio
from contextlib import suppress

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import count_runs
from basilhill_fakes.small_fleet import SmallFleet, execution_statuses, paired_fleets

BURST = 4
PERMITS = {"customer_burst": BURST, "customer_rate_per_s": 0.01}
# Far above the permits of one node, so that the customer bucket limits the runs.
CALLS_PER_NODE = 15
ABANDON_S = 0.15


async def abandon(small: SmallFleet, order: str, node: int) -> None:
    """Send a first attempt with a new token, and disconnect before the response."""
    nodes = [small.origin, *small.executors]
    token = await small.sender.new_token(nodes[node])
    # The node that receives the call is not the node that issued its token.
    sending = small.sender.send_request(nodes[(node + 1) % len(nodes)], order, token)
    with suppress(TimeoutError):
        async with asyncio.timeout(ABANDON_S):
            await sending


async def abandon_many(small: SmallFleet) -> list[Event]:
    """Abandon many calls of one customer; return the responses to another customer."""
    await small.slow_servers()
    small.sender.customer = "hasty"
    for number in range(CALLS_PER_NODE):
        orders = (f"hasty-{number}-{node}" for node in range(3))
        await asyncio.gather(*(abandon(small, o, n) for n, o in enumerate(orders)))
    small.sender.customer = "patient"
    # A response returns the permit, so a customer who waits for responses is not limited.
    rounds = [await small.send_all(await small.issue_tokens(BURST)) for _ in range(2)]
    return rounds[0] + rounds[1]


def count_abandoned_runs(small: SmallFleet) -> int:
    return count_runs(small.events(), "hasty-")


async def test_abandoned_calls_of_a_customer_are_limited_at_each_node(tmp_path):
    """Guard against a customer who fills the servers with abandoned calls.

    Each call has a new token and goes through a different node than the call before.
    """
    async with paired_fleets(tmp_path, "customer-buckets", **PERMITS) as (small, unbounded):
        other_responses, _ = await asyncio.gather(abandon_many(small), abandon_many(unbounded))
        assert execution_statuses(other_responses) == ["answered"] * 2 * BURST
        assert BURST <= count_abandoned_runs(small) <= 3 * BURST
        reasons = {e.reason for e in small.events() if e.kind is EventKind.ANSWER_RECEIVED}
        assert "customer-limit" in reasons
        assert small.find_violations() == []
        assert unbounded.find_violations() == []
        assert count_abandoned_runs(unbounded) > 6 * BURST
