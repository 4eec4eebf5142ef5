"""Test of poison requests, which crash backend servers, with real processes."""

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
# The callers start one after another, because duplicates that start on several servers before the
# first crash is reported cannot be refused.
CALLER_DELAY_S = 0.1


def new_callers(fleet: Fleet) -> list[Caller]:
    """Return one caller for each node of the calendar service."""
    return [
        Caller(
            WORKLOAD,
            Topology(fleet.topology.platform_address, (vm,)),
            HistoryWriter(fleet.history / f"caller-{vm.address}.jsonl"),
            tries=1,
        )
        for vm in fleet.topology.servers_of("calendar")
    ]


async def repeat_request(caller: Caller, call: str, delay_s: float) -> list:
    """Send the same request `REPEATS` times after a delay."""
    await asyncio.sleep(delay_s)
    return [await caller.perform(call, CRASH) for _ in range(REPEATS)]


def count_crashed_servers(fleet: Fleet) -> int:
    """Return the number of backend server processes that have ended."""
    return sum(
        process.returncode is not None
        for name, process in fleet.processes.items()
        if name.startswith("backend-")
    )


async def run_crashes(tmp_path: Path, call: str, disabled: tuple[str, ...] = ()):
    """Repeat a poison request through all nodes of a service, alongside harmless requests."""
    fleet = new_fleet(WORKLOAD, tmp_path, counts=COUNTS)
    fleet.settings["disabled_mechanisms"] = disabled
    callers = []
    try:
        await fleet.start((ROOT / WORKLOAD.document).read_text())
        callers = new_callers(fleet)
        await asyncio.gather(*(caller.browse() for caller in callers))
        for vm in fleet.topology.servers_of("calendar"):
            await fleet.put(f"{vm.backend_url}/test/faults", {"crash_order": CRASH})
        harmless = asyncio.gather(
            *(caller.perform(WORKLOAD.browse, "innocent") for caller in callers)
        )
        answers = await asyncio.gather(
            *(
                repeat_request(caller, call, number * CALLER_DELAY_S)
                for number, caller in enumerate(callers)
            )
        )
        await harmless
        later = [await caller.perform(WORKLOAD.browse, "innocent") for caller in callers]
        return count_crashed_servers(fleet), answers, later
    finally:
        for caller in callers:
            await caller.session.close()
        await fleet.stop()


async def test_repeated_poison_request_crashes_at_most_two_servers(tmp_path):
    """Guard against a repeated request that crashes all servers of a service one by one."""
    crashed, answers, later = await run_crashes(tmp_path, WORKLOAD.browse)
    assert crashed <= 2
    events = [event for caller_events in answers for event in caller_events]
    assert {event.verdict for event in events} <= {"not-run", "may-have-run"}
    assert events[-1].verdict == "not-run"
    assert events[-1].reason == "suspect"
    assert [event.status for event in later] == [200] * len(later)
