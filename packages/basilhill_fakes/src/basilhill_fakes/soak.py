"""Randomized soak of the node programs: load, overlapping faults, recovery and checks."""

import asyncio
from pathlib import Path
from random import Random

import aiohttp
from attrs import define, field, frozen

from basilhill_fakes.queries.soak_calm import is_in_touch
from basilhill_fakes.queries.soak_invariants import find_soak_violations
from basilhill_fakes.soak_changes import ChangeRhythm
from basilhill_fakes.soak_faults import FAULTS, Fault
from basilhill_fakes.soak_fleet import (
    DEADLINE_MS,
    MOVES,
    READS,
    SLOTS,
    WRITES,
    SoakFleet,
    SoakVm,
)
from basilhill_fakes.soak_records import SoakHistory

SERVICES = ("calendar", "calendar", "deposits", "deposits", "calendar", "deposits")
REQUESTS = (("GET", "/read/"), ("GET", "/move/"), ("POST", "/write/"))
CLIENTS_PER_VM = 3
MEAN_THINK_TIME_S = 0.03
FAULT_DURATION_S = (0.2, 3.0)
FAULT_GAP_S = (0.1, 2.0)
# The platform requires that all routes are served again within this time after the last fault.
RECOVERY_BOUND_S = 15.0
# Parts of the requests with an unknown key or none, and with any key that was ever valid.
UNKNOWN_KEY_SHARE = 0.05
OLD_KEY_SHARE = 0.2


@frozen
class FaultSequence:
    """Faults of VMs chosen at random, one after the other."""

    faults: tuple[Fault, ...] = FAULTS
    duration_s: tuple[float, float] = FAULT_DURATION_S
    gap_s: tuple[float, float] = FAULT_GAP_S

    async def run(self, fleet: SoakFleet, random: Random, seconds: float) -> None:
        """Inject faults for a time."""
        until_ms = fleet.clock.now_ms() + seconds * 1000
        while fleet.clock.now_ms() < until_ms:
            await asyncio.sleep(random.uniform(*self.gap_s))
            fault, vm = random.choice(self.faults), random.choice(fleet.vms)
            await fault.run(fleet, vm, random.uniform(*self.duration_s))


@frozen
class SoakPlan:
    """Deployment, faults and changes of a soak.

    `requests` are the methods and path prefixes that clients use. Clients also send
    `optional_requests`, whose routes are not always in force.
    """

    services: tuple[str, ...] = SERVICES
    routes: tuple[dict, ...] = (READS, WRITES, MOVES)
    requests: tuple[tuple[str, str], ...] = REQUESTS
    optional_requests: tuple[tuple[str, str], ...] = ()
    sequences: tuple[FaultSequence, ...] = (FaultSequence(),) * 4
    # Changes of the configuration besides those among the faults.
    rhythm: ChangeRhythm | None = None
    # Range of the age of reads that may be stale.
    stale_s: tuple[float, float] = (0.0, 0.0)
    think_time_s: float = MEAN_THINK_TIME_S
    # Whether proxies that can disturb it carry the traffic to nodes and backend servers. A data
    # centre has no subscriber then, because no server is listed under the address of its node.
    proxied: bool = True
    # Directories of the node program, for each VM in turn; empty for that of this checkout.
    node_paths: tuple[str, ...] = ()
    tenants: tuple[dict, ...] = ()
    # Path of the internal calls that the servers of a service make.
    calls: dict[str, str] = field(factory=dict)
    run_ms: int = 5
    # Time of a run while recovery is checked, None for the same time.
    recovery_run_ms: int | None = None
    slots: int = SLOTS
    deadline_ms: int = DEADLINE_MS


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
        bound = sum(is_in_touch(history, one.vm, one.sent_ms) for one in history.attempts)
        stated = {(one.vm, one.leaving_server) for one in history.attempts if one.leaving_server}
        kinds = sorted({disruption.kind for disruption in history.disruptions})
        return (
            f"seed {self.seed}: {len(history.attempts)} attempts, {served} served, "
            f"{bound} sent in touch, "
            f"{len(history.runs)} runs, {len(history.versions)} versions, "
            f"{len(history.acknowledged_changes)} servers left, "
            f"{len(stated)} statements passed on, "
            f"{len(history.disruptions)} faults ({', '.join(kinds)}), "
            f"{len(self.violations)} invariant violations"
        )


async def run_soak(
    seed: int, seconds: float, directory: Path, plan: SoakPlan = DEFAULT_PLAN
) -> SoakResult:
    """Run the node programs under faults chosen by a seed; write their logs to a directory."""
    fleet = SoakFleet(
        directory,
        Random(seed),
        routes=plan.routes,
        proxied=plan.proxied,
        node_paths=plan.node_paths,
        tenants={tenant["name"]: tenant for tenant in plan.tenants},
        calls=plan.calls,
        run_ms=plan.run_ms,
        slots=plan.slots,
        deadline_ms=plan.deadline_ms,
    )
    fleet.store.stale_s = Random(f"{seed}/stale").uniform(*plan.stale_s)
    background: list[asyncio.Task] = []
    try:
        await fleet.start(plan.services)
        background = [
            asyncio.create_task(run_client(fleet, vm, Random(f"{seed}/{vm.number}/{n}"), plan))
            for vm in fleet.vms
            for n in range(CLIENTS_PER_VM)
        ]
        if plan.rhythm is not None:
            changing = plan.rhythm.run(fleet, Random(f"{seed}/changes"))
            background.append(asyncio.create_task(changing))
        await asyncio.gather(
            *(
                sequence.run(fleet, Random(f"{seed}/{n}"), seconds)
                for n, sequence in enumerate(plan.sequences)
            )
        )
        if plan.recovery_run_ms is not None:
            fleet.change_run_time(plan.recovery_run_ms)
        fleet.history.recovered_ms = await wait_recovered(fleet, plan)
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        await fleet.stop()
    return SoakResult(seed, fleet.history, find_soak_violations(fleet.history))


async def run_client(fleet: SoakFleet, vm: SoakVm, random: Random, plan: SoakPlan) -> None:
    """Send requests over one persistent connection until cancelled; reconnect if it breaks."""
    connector = aiohttp.TCPConnector(limit=1)
    requests = (*plan.requests, *plan.optional_requests)
    async with aiohttp.ClientSession(connector=connector) as session:
        while True:
            key = choose_key(fleet, random)
            await fleet.send_attempt(session, vm, *random.choice(requests), key)
            await asyncio.sleep(random.uniform(0, 2 * plan.think_time_s))


def choose_key(fleet: SoakFleet, random: Random) -> str:
    """Return a key of the newest version, or sometimes one of an older version or of none."""
    if not fleet.tenants:
        return ""
    draw, versions = random.random(), fleet.history.versions
    if draw < UNKNOWN_KEY_SHARE:
        return random.choice(("", "key-unknown"))
    version = versions[-1] if draw > OLD_KEY_SHARE else random.choice(versions)
    return random.choice(sorted(version.keys))


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
        keys = sorted(fleet.history.versions[-1].keys)
        attempt = await fleet.send_attempt(session, vm, method, path, keys[0] if keys else "")
        if attempt.status == 200:
            return
        await asyncio.sleep(MEAN_THINK_TIME_S)
