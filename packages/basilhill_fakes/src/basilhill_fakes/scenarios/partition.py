"""Data centres lose each other, and callers go on at both sides."""

import asyncio

from attrs import frozen

from basilhill_fakes.measurements import Measurement
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, until
from basilhill_fakes.topology import Vm

HEAL_S = BEFORE_S + DURING_S - 4.0


@frozen
class Partition:
    """Cut one data centre, drawn at random, off the others in both directions."""

    name: str = "partition"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the fields to report."""
        _, fields = await run_faults(measurement, cut_data_centre)
        return {"partition_s": HEAL_S - BEFORE_S, **fields}


async def cut_data_centre(measurement: Measurement, start_ms: float) -> None:
    """Cut the nodes of one data centre off the others, and heal the cut."""
    vms = measurement.fleet.topology.vms
    alone = measurement.random.choice(sorted({vm.data_centre for vm in vms}))
    await until(start_ms, BEFORE_S)
    measurement.say(f"{alone} is cut off")
    await asyncio.gather(*(cut(measurement, vm, other_side(vms, vm, alone)) for vm in vms))
    await until(start_ms, HEAL_S)
    measurement.say(f"{alone} is reachable again")
    await asyncio.gather(*(cut(measurement, vm, []) for vm in vms))


def other_side(vms: tuple[Vm, ...], vm: Vm, alone: str) -> list[str]:
    """Return the nodes that a VM cannot reach while a data centre is cut off."""
    inside = vm.data_centre == alone
    return [other.node for other in vms if (other.data_centre == alone) != inside]


async def cut(measurement: Measurement, vm: Vm, nodes: list[str]) -> None:
    """Cut a node off others."""
    await measurement.fleet.put(f"{vm.control_url}/test/cut", nodes)
