"""Scenario: two operators change sections concurrently, and some changes are invalid."""

import asyncio
import statistics
from random import Random

from attrs import frozen

from basilhill_fakes.commands.sections import change_section, watch_sections
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.processes import Fleet
from basilhill_fakes.queries.sections import activation_ms, count_invalid_active
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, sleep_until
from basilhill_fakes.sections import PublishedSections, new_published_sections

CHANGES = 8
GAP_S = DURING_S / CHANGES
AFTER_LAST_S = 6.0
INVALID_EVERY = 3


@frozen
class ConfigRace:
    """Concurrent changes of two teams' sections; every third change of one team is invalid."""

    name: str = "config_race"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        published = new_published_sections(measurement.document)

        async def race(measurement: Measurement, start_ms: float) -> None:
            await publish_concurrently(published, measurement, start_ms)

        run, fields = await run_faults(measurement, race)
        nodes = len(measurement.fleet.topology.vms)
        valid = [change for change in published.changes if change.valid]
        times_ms = [activation_ms(run.events, change, nodes) for change in valid]
        known_ms = [time_ms for time_ms in times_ms if time_ms is not None]
        return {
            "in_force_ms": round(max(known_ms)) if known_ms else None,
            "in_force_p50_ms": round(statistics.median(known_ms)) if known_ms else None,
            "changes": len(valid),
            "changes_not_in_force": len(times_ms) - len(known_ms),
            "invalid_changes": len(published.changes) - len(valid),
            "invalid_in_force": count_invalid_active(run.events, published.changes),
            "reverts": fields["fallen_versions"],
            **fields,
        }


async def publish_concurrently(
    published: PublishedSections, measurement: Measurement, start_ms: float
) -> None:
    """Let two operators publish at nearly the same times while recording active versions."""
    teams = measurement.random.sample(sorted(published.texts), 2)
    randoms = [Random(measurement.random.random()) for _ in teams]
    watch = asyncio.create_task(watch_sections(measurement))
    try:
        await asyncio.gather(
            *(
                publish_changes(published, measurement.fleet, team, random, start_ms, number)
                for number, (team, random) in enumerate(zip(teams, randoms, strict=True))
            )
        )
        await sleep_until(start_ms, BEFORE_S + DURING_S + AFTER_LAST_S)
    finally:
        watch.cancel()


async def publish_changes(
    published: PublishedSections,
    fleet: Fleet,
    team: str,
    random: Random,
    start_ms: float,
    operator: int,
) -> None:
    """Publish the changes of one operator; every third change of the second operator is invalid."""
    for number in range(CHANGES):
        await sleep_until(start_ms, BEFORE_S + number * GAP_S + random.uniform(0, 0.02))
        valid = operator == 0 or number % INVALID_EVERY != 1
        await change_section(published, fleet, team, f"change-{number}", valid)
