"""Faults of single VMs, which tests draw at random and bring about at planned times."""

import asyncio
import signal
from itertools import combinations
from random import Random
from typing import Protocol

from attrs import evolve, frozen

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
class LinkCut:
    """Cut a node off every second one of the others in both directions for a time.

    The node's own end holds all messages back, so it works while another node is paused or down.
    """

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the node reaches all others again."""
        vm = target_of(fleet, self.target)
        others = [other.node for other in fleet.topology.vms if other != vm]
        await fleet.put(f"{vm.control_url}/test/cut", others[self.target % 2 :: 2])
        await asyncio.sleep(self.duration_s)
        await fleet.put(f"{vm.control_url}/test/cut", [])


@frozen
class PlatformOutage:
    """Let the platform answer nothing for a time."""

    target: int
    at_s: float
    duration_s: float

    async def bring_about(self, fleet: Fleet) -> None:
        """Bring the fault about and return once the platform answers again."""
        url = f"{fleet.topology.platform_url}/test/faults"
        await fleet.put(url, {"down": True})
        await asyncio.sleep(self.duration_s)
        await fleet.put(url, {"down": False})


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
# Any two of these may be brought about at the same time.
PAIRED_TYPES = (BackendCrash, NodeCrash, NodePause, LinkCut, PlatformOutage)
NODE_TYPES = (NodeCrash, NodePause, LinkCut)
FIRST_FAULT_S = (0.3, 1.0)
PAUSE_S = (2.0, 5.0)
# Shorter than a lease, about as long, and longer.
DURATION_S = (0.2, 3.5)


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


async def bring_about_together(fleet: Fleet, faults: list[Fault]) -> None:
    """Bring faults about at their times, whether others still last or not."""

    async def bring_about(fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await fault.bring_about(fleet)

    await asyncio.gather(*(bring_about(fault) for fault in faults))


def draw_pair(seed: int) -> list[Fault]:
    """Return two faults of different kinds that overlap; ten seeds in a row cover all pairs."""
    random = Random(seed)
    pairs = list(combinations(PAIRED_TYPES, 2))
    kinds = random.sample(pairs[seed % len(pairs)], 2)
    at_s = random.uniform(*FIRST_FAULT_S)
    faults: list[Fault] = []
    for kind in kinds:
        duration_s = random.uniform(*(PAUSE_S if kind is NodePause else DURATION_S))
        target = random.randint(0, 99)
        faults.append(kind(target, at_s, duration_s))
        at_s += random.uniform(0, min(1.5, duration_s))
    if all(kind in NODE_TYPES for kind in kinds):
        # Two faults of one node cannot both be brought about; the next VM has the second.
        faults[1] = evolve(faults[1], target=faults[0].target + 1)
    return faults
