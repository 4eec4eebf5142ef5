"""The platform is down, then stale, while a VM restarts."""

import asyncio
import signal

import aiohttp
from attrs import frozen

from basilhill_fakes.commands.sections import change_section, watch_sections
from basilhill_fakes.history import now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.queries.sections import in_force_ms
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, until
from basilhill_fakes.sections import Operators, operators_of

CHANGE_S = 2.0
RESTART_S = BEFORE_S + 2.0
STALE_S = BEFORE_S + 8.0
READY_S = 8.0


@frozen
class PlatformDown:
    """Take the platform away for 8 s, then let it answer with the first revision only."""

    name: str = "platform_down"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the fields to report."""
        operators = operators_of(measurement.document)
        ready: list[float] = []

        async def take_platform_down(measurement: Measurement, start_ms: float) -> None:
            watch = asyncio.create_task(watch_sections(measurement))
            try:
                await run_schedule(operators, measurement, start_ms, ready)
            finally:
                watch.cancel()

        run, fields = await run_faults(measurement, take_platform_down)
        nodes = len(measurement.fleet.topology.vms)
        times_ms = [in_force_ms(run.events, change, nodes) for change in operators.changes]
        return {
            "in_force_ms": None if None in times_ms else round(max(times_ms)),
            "restarted_node_ready_ms": round(ready[0]) if ready else None,
            "reverts": fields["fallen_versions"],
            **fields,
        }


async def run_schedule(
    operators: Operators, measurement: Measurement, start_ms: float, ready: list[float]
) -> None:
    """Change a section, take the platform down, restart a node, and make the platform stale."""
    fleet = measurement.fleet
    team = measurement.random.choice(sorted(operators.texts))
    vm = measurement.random.choice(fleet.topology.vms)
    faults_url = f"{fleet.topology.platform_url}/test/faults"
    await until(start_ms, CHANGE_S)
    await change_section(operators, fleet, team, "change")
    await until(start_ms, BEFORE_S)
    measurement.say("the platform is down")
    await fleet.put(faults_url, {"down": True})
    await until(start_ms, RESTART_S)
    measurement.say(f"node at {vm.address} of {vm.service} is killed and starts again")
    fleet.signal(f"node-{vm.address}", signal.SIGKILL)
    await fleet.wait_ended(f"node-{vm.address}")
    killed_ms = now_ms()
    try:
        async with asyncio.timeout(READY_S):
            await fleet.start_node(vm)
        ready.append(now_ms() - killed_ms)
    except (TimeoutError, aiohttp.ClientError):
        measurement.say(f"node at {vm.address} was not ready within {READY_S:.0f} s")
    await until(start_ms, STALE_S)
    measurement.say("the platform answers with the first revision")
    await fleet.put(faults_url, {"down": False, "stale_revision": 1})
    await until(start_ms, BEFORE_S + DURING_S)
    await fleet.put(faults_url, {"stale_revision": 0})
    await change_section(operators, fleet, team, "change-after")
    await until(start_ms, BEFORE_S + DURING_S + 6.0)
