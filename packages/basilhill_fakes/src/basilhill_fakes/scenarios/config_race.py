"""Two operators change sections at the same time, one of them wrongly now and then."""

import asyncio
import statistics
from random import Random

from attrs import frozen

from basilhill_fakes.commands.sections import change_section, watch_sections
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.processes import Fleet
from basilhill_fakes.queries.sections import in_force_ms, wrongly_in_force
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, until
from basilhill_fakes.sections import Operators, operators_of

CHANGES = 8
GAP_S = DURING_S / CHANGES
AFTER_LAST_S = 6.0
INVALID_EVERY = 3


@frozen
class ConfigRace:
    """Publish changes of two teams' sections at the same time, every third of one invalid."""

    name: str = "config_race"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the fields to report."""
        operators = operators_of(measurement.document)

        async def race(measurement: Measurement, start_ms: float) -> None:
            await change_together(operators, measurement, start_ms)

        run, fields = await run_faults(measurement, race)
        nodes = len(measurement.fleet.topology.vms)
        valid = [change for change in operators.changes if change.valid]
        times_ms = [in_force_ms(run.events, change, nodes) for change in valid]
        known_ms = [time_ms for time_ms in times_ms if time_ms is not None]
        return {
            "in_force_ms": round(max(known_ms)) if known_ms else None,
            "in_force_p50_ms": round(statistics.median(known_ms)) if known_ms else None,
            "changes": len(valid),
            "changes_not_in_force": len(times_ms) - len(known_ms),
            "invalid_changes": len(operators.changes) - len(valid),
            "invalid_in_force": wrongly_in_force(run.events, operators.changes),
            "reverts": fields["fallen_versions"],
            **fields,
        }


async def change_together(operators: Operators, measurement: Measurement, start_ms: float) -> None:
    """Let two operators publish at nearly the same times while the nodes are watched."""
    teams = measurement.random.sample(sorted(operators.texts), 2)
    randoms = [Random(measurement.random.random()) for _ in teams]
    watch = asyncio.create_task(watch_sections(measurement))
    try:
        await asyncio.gather(
            *(
                edit(operators, measurement.fleet, team, random, start_ms, number)
                for number, (team, random) in enumerate(zip(teams, randoms, strict=True))
            )
        )
        await until(start_ms, BEFORE_S + DURING_S + AFTER_LAST_S)
    finally:
        watch.cancel()


async def edit(
    operators: Operators, fleet: Fleet, team: str, random: Random, start_ms: float, operator: int
) -> None:
    """Publish the changes of one operator; the second operator errs now and then."""
    for number in range(CHANGES):
        await until(start_ms, BEFORE_S + number * GAP_S + random.uniform(0, 0.02))
        valid = operator == 0 or number % INVALID_EVERY != 1
        await change_section(operators, fleet, team, f"change-{number}", valid)
