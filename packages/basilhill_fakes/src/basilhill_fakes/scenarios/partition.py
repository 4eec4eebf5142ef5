"""Scenario: one data centre is partitioned from the others, with callers on both sides."""

import asyncio

from attrs import frozen

from basilhill_fakes.measurements import Measurement
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, sleep_until
from basilhill_fakes.topology import Vm

HEAL_AT_S = BEFORE_S + DURING_S - 4.0


@frozen
class Partition:
    """Partition between a random data centre and the others in both directions."""

    name: str = "partition"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        _, fields = await run_faults(measurement, isolate_data_centre)
        return {"partition_s": HEAL_AT_S - BEFORE_S, **fields}


async def isolate_data_centre(measurement: Measurement, start_ms: float) -> None:
    """Partition the nodes of one data centre from the others, then end the partition."""
    vms = measurement.fleet.topology.vms
    isolated = measurement.random.choice(sorted({vm.data_centre for vm in vms}))
    await sleep_until(start_ms, BEFORE_S)
    measurement.log_progress(f"data centre {isolated} is partitioned from the others")
    await asyncio.gather(
        *(set_partition(measurement, vm, unreachable_nodes(vms, vm, isolated)) for vm in vms)
    )
    await sleep_until(start_ms, HEAL_AT_S)
    measurement.log_progress(f"data centre {isolated} is reachable again")
    await asyncio.gather(*(set_partition(measurement, vm, []) for vm in vms))


def unreachable_nodes(vms: tuple[Vm, ...], vm: Vm, isolated: str) -> list[str]:
    """Return the nodes that a VM cannot reach while a data centre is isolated."""
    inside = vm.data_centre == isolated
    return [other.node for other in vms if (other.data_centre == isolated) != inside]


async def set_partition(measurement: Measurement, vm: Vm, nodes: list[str]) -> None:
    """Block the messages between a node and these peers, and unblock all other peers."""
    await measurement.fleet.put(f"{vm.control_url}/test/cut", nodes)
