"""Randomized soak of the node programs: load, overlapping faults, recovery and checks."""

import asyncio
from pathlib import Path
from random import Random

import aiohttp
from attrs import define, frozen

from basilhill_fakes.queries.soak_invariants import find_soak_violations
from basilhill_fakes.soak_faults import FAULTS, Fault
from basilhill_fakes.soak_fleet import READS, WRITES, SoakFleet, SoakVm
from basilhill_fakes.soak_records import SoakHistory

SERVICES = ("calendar", "calendar", "deposits", "deposits", "calendar", "deposits")
REQUESTS = (("GET", "/read/"), ("GET", "/move/"), ("POST", "/write/"))
CLIENTS_PER_VM = 3
MEAN_THINK_TIME_S = 0.03
# Number of fault sequences that run concurrently.
FAULT_SEQUENCES = 4
FAULT_DURATION_S = (0.2, 3.0)
FAULT_GAP_S = (0.1, 2.0)
# The platform requires that all routes are served again within this time after the last fault.
RECOVERY_BOUND_S = 15.0


@frozen
class SoakPlan:
    """Deployment and faults of a soak.

    `routes` are the routes besides the one that moves; `requests` are the methods and path prefixes
    that clients use.
    """

    services: tuple[str, ...] = SERVICES
    routes: tuple[dict, ...] = (READS, WRITES)
    requests: tuple[tuple[str, str], ...] = REQUESTS
    faults: tuple[Fault, ...] = FAULTS
    fault_duration_s: tuple[float, float] = FAULT_DURATION_S
    think_time_s: float = MEAN_THINK_TIME_S
    # Directories of the node program, for each VM in turn; empty for that of this checkout.
    node_paths: tuple[str, ...] = ()


DEFAULT_PLAN = SoakPlan()


@define
class SoakResult:
    """History of a soak and the violations found in it."""

    seed: int
    history: SoakHistory
    violations: list[str]

    def summary(self) -> str:
        """Return a one-line summary."""
        history = self.history
        served = sum(attempt.status == 200 for attempt in history.attempts)
        kinds = sorted({disruption.kind for disruption in history.disruptions})
        return (
            f"seed {self.seed}: {len(history.attempts)} attempts, {served} served, "
            f"{len(history.runs)} runs, {len(history.disruptions)} faults ({', '.join(kinds)}), "
            f"{len(self.violations)} invariant violations"
        )


async def run_soak(
    seed: int, seconds: float, directory: Path, plan: SoakPlan = DEFAULT_PLAN
) -> SoakResult:
    """Run the node programs under faults chosen by a seed; write their logs to a directory."""
    fleet = SoakFleet(directory, Random(seed), routes=plan.routes, node_paths=plan.node_paths)
    clients: list[asyncio.Task] = []
    try:
        await fleet.start(plan.services)
        clients = [
            asyncio.create_task(run_client(fleet, vm, Random(f"{seed}/{vm.number}/{n}"), plan))
            for vm in fleet.vms
            for n in range(CLIENTS_PER_VM)
        ]
        fault_sequences = [
            run_fault_sequence(fleet, Random(f"{seed}/{n}"), seconds, plan)
            for n in range(FAULT_SEQUENCES)
        ]
        await asyncio.gather(*fault_sequences)
        fleet.history.recovered_ms = await wait_recovered(fleet, plan)
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await fleet.stop()
    return SoakResult(seed, fleet.history, find_soak_violations(fleet.history))


async def run_client(fleet: SoakFleet, vm: SoakVm, random: Random, plan: SoakPlan) -> None:
    """Send requests over one persistent connection until cancelled; reconnect if it breaks."""
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        while True:
            await fleet.send_attempt(session, vm, *random.choice(plan.requests))
            await asyncio.sleep(random.uniform(0, 2 * plan.think_time_s))


async def run_fault_sequence(
    fleet: SoakFleet, random: Random, seconds: float, plan: SoakPlan
) -> None:
    """Inject faults one after the other for a time."""
    until_ms = fleet.clock.now_ms() + seconds * 1000
    while fleet.clock.now_ms() < until_ms:
        await asyncio.sleep(random.uniform(*FAULT_GAP_S))
        fault, vm = random.choice(plan.faults), random.choice(fleet.vms)
        await fault.run(fleet, vm, random.uniform(*plan.fault_duration_s))


async def wait_recovered(fleet: SoakFleet, plan: SoakPlan) -> int | None:
    """Return the time at which all nodes serve all routes, None if the bound passes first."""
    try:
        async with asyncio.timeout(RECOVERY_BOUND_S), aiohttp.ClientSession() as session:
            for vm in fleet.vms:
                for method, path in plan.requests:
                    await wait_until_served(fleet, session, vm, method, path)
    except TimeoutError:
        return None
    return fleet.clock.now_ms()


async def wait_until_served(
    fleet: SoakFleet, session: aiohttp.ClientSession, vm: SoakVm, method: str, path: str
) -> None:
    """Repeat a request until it succeeds."""
    while True:
        attempt = await fleet.send_attempt(session, vm, method, path)
        if attempt.status == 200:
            return
        await asyncio.sleep(MEAN_THINK_TIME_S)
