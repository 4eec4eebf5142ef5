"""A customer who repeats hard is bounded, and others are not."""

import asyncio
from contextlib import suppress

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.queries.histories import runs_of_orders
from basilhill_fakes.scene import Scene, scenes, verdicts

BURST = 4
PERMITS = {"customer_burst": BURST, "customer_rate_per_s": 0.01}
# Far above the permits of one node, so that the bucket is what bounds the runs.
CALLS_PER_NODE = 15
ABANDON_S = 0.15


async def abandon(stage: Scene, order: str, node: int) -> None:
    """Send a first copy with a new token, and hang up before its answer."""
    nodes = [stage.front, *stage.executors]
    token = await stage.sender.new_token(nodes[node])
    # The node that gets the copy is not the one that issued the token.
    sending = stage.sender.copy(nodes[(node + 1) % len(nodes)], order, token)
    with suppress(TimeoutError):
        async with asyncio.timeout(ABANDON_S):
            await sending


async def repeat_hard(stage: Scene) -> list[Event]:
    """Abandon many calls of one customer; return what another customer gets meanwhile."""
    await stage.slow_down()
    stage.sender.customer = "hasty"
    for number in range(CALLS_PER_NODE):
        orders = (f"hasty-{number}-{node}" for node in range(3))
        await asyncio.gather(*(abandon(stage, o, n) for n, o in enumerate(orders)))
    stage.sender.customer = "patient"
    # An answer gives the permit back, so a customer who waits for answers is not bounded.
    rounds = [await stage.send_all(await stage.tokens(BURST)) for _ in range(2)]
    return rounds[0] + rounds[1]


def hasty_runs(stage: Scene) -> int:
    return runs_of_orders(stage.events(), "hasty-")


async def test_abandoned_calls_of_a_customer_are_bounded_at_each_node(tmp_path):
    """Guards against a customer who fills the servers with calls that nobody waits for.

    Each call has a new token and goes through another node than the call before.
    """
    async with scenes(tmp_path, "customer-buckets", **PERMITS) as (stage, unbounded):
        patient, _ = await asyncio.gather(repeat_hard(stage), repeat_hard(unbounded))
        assert verdicts(patient) == ["answered"] * 2 * BURST
        assert BURST <= hasty_runs(stage) <= 3 * BURST
        reasons = {e.reason for e in stage.events() if e.kind is EventKind.ANSWER_RECEIVED}
        assert "customer-limit" in reasons
        assert stage.judge() == []
        assert unbounded.judge() == []
        assert hasty_runs(unbounded) > 6 * BURST
