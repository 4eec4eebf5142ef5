"""Faults of single VMs, which tests draw at random and bring about at planned times."""

import asyncio
import signal
from typing import Protocol

from attrs import frozen

from basilhill_fakes.processes import Fleet
from basilhill_fakes.topology import Vm


class Fault(Protocol):
    """Bring about one fault and undo it."""

    at_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once it is undone."""
        ...


@frozen
class NodeCrash:
    """Kill a node, and start it again after a time."""

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the node is ready again."""
        vm = target_of(fleet, self.target)
        fleet.signal(f"node-{vm.address}", signal.SIGKILL)
        await fleet.wait_ended(f"node-{vm.address}")
        await asyncio.sleep(self.duration_s)
        await fleet.start_node(vm)


@frozen
class BackendCrash:
    """Kill a backend server, and start it again after a time."""

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the backend server serves again."""
        vm = target_of(fleet, self.target)
        fleet.signal(f"backend-{vm.address}", signal.SIGKILL)
        await fleet.wait_ended(f"backend-{vm.address}")
        await asyncio.sleep(self.duration_s)
        await fleet.start_backend(vm)


@frozen
class NodePause:
    """Stop a node for a time."""

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the node runs again."""
        vm = target_of(fleet, self.target)
        fleet.signal(f"node-{vm.address}", signal.SIGSTOP)
        await asyncio.sleep(self.duration_s)
        fleet.signal(f"node-{vm.address}", signal.SIGCONT)


@frozen
class NodeCut:
    """Cut a node off all others in both directions for a time."""

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the node is reachable again."""
        vm = target_of(fleet, self.target)
        others = [other for other in fleet.topology.vms if other != vm]
        await cut(fleet, vm, others)
        await asyncio.sleep(self.duration_s)
        for one in fleet.topology.vms:
            await fleet.put(f"{one.control_url}/test/cut", [])


@frozen
class BackendSlowness:
    """Make a backend server five times slower for a time."""

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the server has its usual speed."""
        url = f"{target_of(fleet, self.target).backend_url}/test/faults"
        await fleet.put(url, {"slow_factor": 5.0})
        await asyncio.sleep(self.duration_s)
        await fleet.put(url, {"slow_factor": 1.0})


FAULT_TYPES = (NodeCrash, BackendCrash, NodePause, NodeCut, BackendSlowness)


def target_of(fleet: Fleet, target: int) -> Vm:
    """Return the VM that a number stands for."""
    return fleet.topology.vms[target % len(fleet.topology.vms)]


async def cut(fleet: Fleet, vm: Vm, others: list[Vm]) -> None:
    """Cut a VM's node off the nodes of others, at both ends."""
    await fleet.put(f"{vm.control_url}/test/cut", [other.node for other in others])
    for other in others:
        await fleet.put(f"{other.control_url}/test/cut", [vm.node])


async def bring_about_all(fleet: Fleet, faults: list[Fault]) -> None:
    """Bring faults about at their times; the faults follow each other."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for fault in sorted(faults, key=lambda fault: fault.at_s):
        await asyncio.sleep(max(0.0, start_s + fault.at_s - loop.time()))
        await fault.bring_about(fleet)
