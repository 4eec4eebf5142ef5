"""Scenario: the platform is down while a node restarts, then serves an old revision."""

import asyncio
import signal

import aiohttp
from attrs import frozen

from basilhill_fakes.commands.sections import change_section, watch_sections
from basilhill_fakes.history import now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.queries.sections import activation_ms
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, sleep_until
from basilhill_fakes.sections import PublishedSections, new_published_sections

CHANGE_AT_S = 2.0
RESTART_AT_S = BEFORE_S + 2.0
STALE_AT_S = BEFORE_S + 8.0
READY_TIMEOUT_S = 8.0


@frozen
class PlatformDown:
    """Platform outage of 8 s, after which the platform serves only the first revision."""

    name: str = "platform_down"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        published = new_published_sections(measurement.document)
        ready: list[float] = []

        async def run_outage(measurement: Measurement, start_ms: float) -> None:
            watch = asyncio.create_task(watch_sections(measurement))
            try:
                await run_schedule(published, measurement, start_ms, ready)
            finally:
                watch.cancel()

        run, fields = await run_faults(measurement, run_outage)
        nodes = len(measurement.fleet.topology.vms)
        times_ms = [activation_ms(run.events, change, nodes) for change in published.changes]
        return {
            "in_force_ms": None if None in times_ms else round(max(times_ms)),
            "restarted_node_ready_ms": round(ready[0]) if ready else None,
            "reverts": fields["fallen_versions"],
            **fields,
        }


async def run_schedule(
    published: PublishedSections, measurement: Measurement, start_ms: float, ready: list[float]
) -> None:
    """Change a section, stop the platform, restart a node, then serve an old revision."""
    fleet = measurement.fleet
    team = measurement.random.choice(sorted(published.texts))
    vm = measurement.random.choice(fleet.topology.vms)
    faults_url = f"{fleet.topology.platform_url}/test/faults"
    await sleep_until(start_ms, CHANGE_AT_S)
    await change_section(published, fleet, team, "change")
    await sleep_until(start_ms, BEFORE_S)
    measurement.log_progress("the platform is down")
    await fleet.put(faults_url, {"down": True})
    await sleep_until(start_ms, RESTART_AT_S)
    measurement.log_progress(f"node at {vm.address} of {vm.service} is killed and restarted")
    fleet.signal(f"node-{vm.address}", signal.SIGKILL)
    await fleet.wait_ended(f"node-{vm.address}")
    killed_ms = now_ms()
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            await fleet.start_node(vm)
        ready.append(now_ms() - killed_ms)
    except (TimeoutError, aiohttp.ClientError):
        measurement.log_progress(
            f"node at {vm.address} was not ready within {READY_TIMEOUT_S:.0f} s"
        )
    await sleep_until(start_ms, STALE_AT_S)
    measurement.log_progress("the platform serves only the first revision")
    await fleet.put(faults_url, {"down": False, "stale_revision": 1})
    await sleep_until(start_ms, BEFORE_S + DURING_S)
    await fleet.put(faults_url, {"stale_revision": 0})
    await change_section(published, fleet, team, "change-after")
    await sleep_until(start_ms, BEFORE_S + DURING_S + 6.0)
