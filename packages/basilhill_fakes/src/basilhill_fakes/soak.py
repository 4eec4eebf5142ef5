"""A randomized soak of the node programs: load, overlapping series of faults, recovery, verdict."""

import asyncio
from pathlib import Path
from random import Random

import aiohttp
from attrs import define

from basilhill_fakes.queries.soak_promises import broken_promises
from basilhill_fakes.soak_faults import FAULTS
from basilhill_fakes.soak_fleet import SoakFleet, SoakMachine
from basilhill_fakes.soak_records import SoakHistory

SERVICES = ("calendar", "calendar", "deposits", "deposits", "calendar", "deposits")
REQUESTS = (("GET", "/read/"), ("GET", "/move/"), ("POST", "/write/"))
CLIENTS_PER_MACHINE = 3
THINK_S = 0.03
# Series of faults that run beside each other.
SERIES = 4
FAULT_S = (0.2, 3.0)
PAUSE_S = (0.1, 2.0)
# Time after the last fault within which all is served again, from the platform's pages.
RECOVERY_S = 15.0


@define
class SoakResult:
    """Hold what came of a soak."""

    seed: int
    history: SoakHistory
    broken: list[str]

    def summary(self) -> str:
        """Return the result as one line."""
        history = self.history
        served = sum(attempt.status == 200 for attempt in history.attempts)
        kinds = sorted({disruption.kind for disruption in history.disruptions})
        return (
            f"seed {self.seed}: {len(history.attempts)} attempts, {served} served, "
            f"{len(history.runs)} runs, {len(history.disruptions)} faults ({', '.join(kinds)}), "
            f"{len(self.broken)} broken promises"
        )


async def run_soak(seed: int, seconds: float, directory: Path) -> SoakResult:
    """Run the programs under faults drawn from a seed; their logs go to a directory."""
    fleet = SoakFleet(directory, Random(seed))
    clients: list[asyncio.Task] = []
    try:
        await fleet.start(SERVICES)
        clients = [
            asyncio.create_task(run_client(fleet, machine, Random(f"{seed}/{machine.number}/{n}")))
            for machine in fleet.machines
            for n in range(CLIENTS_PER_MACHINE)
        ]
        series = [run_series(fleet, Random(f"{seed}/{n}"), seconds) for n in range(SERIES)]
        await asyncio.gather(*series)
        fleet.history.recovered_ms = await recover(fleet)
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await fleet.stop()
    return SoakResult(seed, fleet.history, broken_promises(fleet.history))


async def run_client(fleet: SoakFleet, machine: SoakMachine, random: Random) -> None:
    """Send requests on a connection that is kept until it breaks, until cancelled."""
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        while True:
            await fleet.ask(session, machine, *random.choice(REQUESTS))
            await asyncio.sleep(random.uniform(0, 2 * THINK_S))


async def run_series(fleet: SoakFleet, random: Random, seconds: float) -> None:
    """Inject one fault after the other for a time."""
    until_ms = fleet.clock.now_ms() + seconds * 1000
    while fleet.clock.now_ms() < until_ms:
        await asyncio.sleep(random.uniform(*PAUSE_S))
        fault, machine = random.choice(FAULTS), random.choice(fleet.machines)
        await fault.run(fleet, machine, random.uniform(*FAULT_S))


async def recover(fleet: SoakFleet) -> int | None:
    """Return when all routes are served at all nodes, None when they are not in time."""
    try:
        async with asyncio.timeout(RECOVERY_S), aiohttp.ClientSession() as session:
            for machine in fleet.machines:
                for method, path in REQUESTS:
                    await until_served(fleet, session, machine, method, path)
    except TimeoutError:
        return None
    return fleet.clock.now_ms()


async def until_served(
    fleet: SoakFleet, session: aiohttp.ClientSession, machine: SoakMachine, method: str, path: str
) -> None:
    """Ask until a request is served."""
    while True:
        attempt = await fleet.ask(session, machine, method, path)
        if attempt.status == 200:
            return
        await asyncio.sleep(THINK_S)
