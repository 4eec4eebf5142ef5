"""Test that a late first attempt gets no "not run" after a repeated attempt has run."""

import asyncio
import signal
from pathlib import Path

from attrs import evolve
from basilhill_fakes.caller import CallAttempt, Caller
from basilhill_fakes.history import HistoryWriter, read_history
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.queries.histories import false_refusals
from basilhill_fakes.workloads import DEGUSTARI, find_fake_call

ROOT = Path(__file__).parents[3]
COUNTS = {"calendar": 1, "reservations": 2, "deposits": 1, "flavours": 1}
BOOK = "reservations.book"


async def test_first_attempt_delayed_in_a_paused_node_gets_no_false_refusal(tmp_path):
    """Guard against a node that treats attempt 0 as the only attempt sent so far.

    The first attempt waits in a paused node. The caller does not wait for it: the repeated attempt
    reaches the coordinator and runs, and the coordinator restarts before the paused node resumes.
    """
    fleet = new_fleet(DEGUSTARI, tmp_path, counts=COUNTS)
    caller = Caller(DEGUSTARI, fleet.topology, HistoryWriter(fleet.history / "caller.jsonl"))
    caller.timeout_ms = 20_000
    origin, coordinator = fleet.topology.servers_of("reservations")
    try:
        await fleet.start((ROOT / DEGUSTARI.document).read_text())
        request = CallAttempt(BOOK, find_fake_call(DEGUSTARI, BOOK), "o1", vm=coordinator)
        await caller.send(request)
        token = caller.tokens[coordinator.address].popleft().text
        request = evolve(request, round=1, token=token)
        fleet.signal(f"node-{origin.address}", signal.SIGSTOP)
        first = asyncio.create_task(caller.send(evolve(request, vm=origin)))
        await asyncio.sleep(0.5)
        second = await caller.send(evolve(request, attempt=1))
        fleet.signal(f"node-{coordinator.address}", signal.SIGKILL)
        await fleet.wait_ended(f"node-{coordinator.address}")
        await fleet.start_node(coordinator)
        fleet.signal(f"node-{origin.address}", signal.SIGCONT)
        late = await first
    finally:
        await caller.session.close()
        await fleet.stop()
    assert second.status == 200
    assert false_refusals(read_history(fleet.history)) == [], late.reason
