"""Tests of requests that crash backend servers, with real processes."""

import asyncio
from pathlib import Path

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import HistoryWriter
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.topology import Topology
from basilhill_fakes.workloads import WORKLOADS

ROOT = Path(__file__).parents[3]
WORKLOAD = WORKLOADS["degustari"]
COUNTS = {"calendar": 4, "reservations": 1, "deposits": 1, "flavours": 1}
CRASH = "crash-order"
REPEATS = 8
# Copies that start on several servers before the first crash is reported are out of reach.
BETWEEN_CALLERS_S = 0.1


def callers_of(fleet: Fleet) -> list[Caller]:
    """Return one caller for each node of the service."""
    return [
        Caller(
            WORKLOAD,
            Topology(fleet.topology.platform_address, (vm,)),
            HistoryWriter(fleet.history / f"caller-{vm.address}.jsonl"),
            tries=1,
        )
        for vm in fleet.topology.servers_of("calendar")
    ]


async def repeat(caller: Caller, call: str, delay_s: float) -> list:
    """Send the same request over and over."""
    await asyncio.sleep(delay_s)
    return [await caller.perform(call, CRASH) for _ in range(REPEATS)]


def crashed_servers(fleet: Fleet) -> int:
    """Count the backend servers that have ended."""
    return sum(
        process.returncode is not None
        for name, process in fleet.processes.items()
        if name.startswith("backend-")
    )


async def run_crashes(tmp_path: Path, call: str, disabled: tuple[str, ...] = ()):
    """Repeat a crashing request through all nodes of a service, among innocent requests."""
    fleet = new_fleet(WORKLOAD, tmp_path, counts=COUNTS)
    fleet.settings["disabled_mechanisms"] = disabled
    callers = []
    try:
        await fleet.start((ROOT / WORKLOAD.document).read_text())
        callers = callers_of(fleet)
        await asyncio.gather(*(caller.browse() for caller in callers))
        for vm in fleet.topology.servers_of("calendar"):
            await fleet.put(f"{vm.backend_url}/test/faults", {"crash_order": CRASH})
        innocent = asyncio.gather(
            *(caller.perform(WORKLOAD.browse, "innocent") for caller in callers)
        )
        answers = await asyncio.gather(
            *(
                repeat(caller, call, number * BETWEEN_CALLERS_S)
                for number, caller in enumerate(callers)
            )
        )
        await innocent
        again = [await caller.perform(WORKLOAD.browse, "innocent") for caller in callers]
        return crashed_servers(fleet), answers, again
    finally:
        for caller in callers:
            await caller.session.close()
        await fleet.stop()


async def test_repeated_request_crashes_at_most_two_servers(tmp_path):
    """Guards against one request taking down a whole service, server by server."""
    crashed, answers, again = await run_crashes(tmp_path, WORKLOAD.browse)
    assert crashed <= 2
    events = [event for caller_events in answers for event in caller_events]
    assert {event.verdict for event in events} <= {"not-run", "may-have-run"}
    assert events[-1].verdict == "not-run"
    assert events[-1].reason == "suspect"
    assert [event.status for event in again] == [200] * len(again)
