"""Scenario: a node that coordinates tokens is suspended and resumes late."""

import signal

from attrs import frozen

from basilhill_fakes.measurements import Measurement
from basilhill_fakes.scenarios.faults import BEFORE_S, run_faults, sleep_until

SHORTEST_S = 5.0
LONGEST_S = 10.0


@frozen
class Pause:
    """Suspension of a node of the transactions' entry service for 5 to 10 s."""

    name: str = "pause"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        duration_s = measurement.random.uniform(SHORTEST_S, LONGEST_S)

        async def pause_node(measurement: Measurement, start_ms: float) -> None:
            fleet = measurement.fleet
            service = measurement.workload.transaction.split(".")[0]
            vm = measurement.random.choice(fleet.topology.servers_of(service))
            await sleep_until(start_ms, BEFORE_S)
            measurement.log_progress(
                f"node at {vm.address} of {service} is suspended for {duration_s:.1f} s"
            )
            fleet.signal(f"node-{vm.address}", signal.SIGSTOP)
            await sleep_until(start_ms, BEFORE_S + duration_s)
            fleet.signal(f"node-{vm.address}", signal.SIGCONT)
            measurement.log_progress(f"node at {vm.address} resumes")

        _, fields = await run_faults(measurement, pause_node)
        return {"pause_s": round(duration_s, 1), **fields}
