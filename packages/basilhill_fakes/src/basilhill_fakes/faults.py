"""Faults of single VMs, chosen at random and injected at planned times."""

import asyncio
import signal
from collections.abc import Awaitable
from itertools import combinations, cycle
from random import Random
from typing import Protocol

from attrs import evolve, frozen

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import Event, HistoryWriter
from basilhill_fakes.pacing import send_at_rate
from basilhill_fakes.processes import Fleet
from basilhill_fakes.topology import Vm


class Fault(Protocol):
    """Fault that starts at a planned time and ends after a duration."""

    target: int
    at_s: float
    duration_s: float

    async def start(self, fleet: Fleet) -> None: ...

    async def end(self, fleet: Fleet) -> None:
        """End the fault; return once the affected process works again."""
        ...


@frozen
class TimedFault:
    """Target and times of a fault, in seconds after the start of the load."""

    target: int
    at_s: float
    duration_s: float


@frozen
class NodeCrash(TimedFault):
    """Crash of a node that is started again after a time."""

    async def start(self, fleet: Fleet) -> None:
        await kill_process(fleet, f"node-{find_vm(fleet, self.target).address}")

    async def end(self, fleet: Fleet) -> None:
        await fleet.start_node(find_vm(fleet, self.target))


@frozen
class BackendCrash(TimedFault):
    """Crash of a backend server that is started again after a time."""

    async def start(self, fleet: Fleet) -> None:
        await kill_process(fleet, f"backend-{find_vm(fleet, self.target).address}")

    async def end(self, fleet: Fleet) -> None:
        await fleet.start_backend(find_vm(fleet, self.target))


@frozen
class NodePause(TimedFault):
    """Suspension of a node process for a time."""

    async def start(self, fleet: Fleet) -> None:
        fleet.signal(f"node-{find_vm(fleet, self.target).address}", signal.SIGSTOP)

    async def end(self, fleet: Fleet) -> None:
        fleet.signal(f"node-{find_vm(fleet, self.target).address}", signal.SIGCONT)


@frozen
class NodeCut(TimedFault):
    """Partition between a node and all others in both directions for a time."""

    async def start(self, fleet: Fleet) -> None:
        """Start the partition at both ends."""
        vm = find_vm(fleet, self.target)
        others = [other for other in fleet.topology.vms if other != vm]
        await set_partition(fleet, vm, others)
        for other in others:
            await set_partition(fleet, other, [vm])

    async def end(self, fleet: Fleet) -> None:
        for vm in fleet.topology.vms:
            await set_partition(fleet, vm, [])


@frozen
class LinkCut(TimedFault):
    """Partition between a node and every second other node in both directions for a time.

    Only the node's own end blocks messages, so the fault works while another node is paused or
    down.
    """

    async def start(self, fleet: Fleet) -> None:
        """Start the partition at the node's own end."""
        vm = find_vm(fleet, self.target)
        others = [other for other in fleet.topology.vms if other != vm]
        await set_partition(fleet, vm, others[self.target % 2 :: 2])

    async def end(self, fleet: Fleet) -> None:
        await set_partition(fleet, find_vm(fleet, self.target), [])


@frozen
class PlatformOutage(TimedFault):
    """Outage of the platform for a time."""

    async def start(self, fleet: Fleet) -> None:
        await fleet.put(f"{fleet.topology.platform_url}/test/faults", {"down": True})

    async def end(self, fleet: Fleet) -> None:
        await fleet.put(f"{fleet.topology.platform_url}/test/faults", {"down": False})


@frozen
class BackendSlowness(TimedFault):
    """Fivefold slowdown of a backend server for a time."""

    async def start(self, fleet: Fleet) -> None:
        await set_slow_factor(fleet, find_vm(fleet, self.target), 5.0)

    async def end(self, fleet: Fleet) -> None:
        await set_slow_factor(fleet, find_vm(fleet, self.target), 1.0)


# The repr of these faults is part of the caller's seed in test_faults.py, so renaming a class or a
# field changes the schedule of the load.
FAULT_TYPES = (NodeCrash, BackendCrash, NodePause, NodeCut, BackendSlowness)
# Any two of these types can be injected at the same time.
PAIRED_TYPES = (BackendCrash, NodeCrash, NodePause, LinkCut, PlatformOutage)
NODE_TYPES = (NodeCrash, NodePause, LinkCut)
FIRST_FAULT_AT_S = (0.3, 1.0)
PAUSE_DURATION_S = (2.0, 5.0)
# Covers durations shorter than a lease, close to its length, and longer.
FAULT_DURATION_S = (0.2, 3.5)


def find_vm(fleet: Fleet, target: int) -> Vm:
    """Return the VM with a target number, modulo the number of VMs."""
    return fleet.topology.vms[target % len(fleet.topology.vms)]


async def kill_process(fleet: Fleet, process: str) -> None:
    """Kill a process; return once it has terminated."""
    fleet.signal(process, signal.SIGKILL)
    await fleet.wait_ended(process)


async def set_partition(fleet: Fleet, vm: Vm, others: list[Vm]) -> None:
    """Block messages between the node of a VM and the nodes of others; unblock all other nodes."""
    await fleet.put(f"{vm.control_url}/test/cut", [other.node for other in others])


async def set_slow_factor(fleet: Fleet, vm: Vm, factor: float) -> None:
    await fleet.put(f"{vm.backend_url}/test/faults", {"slow_factor": factor})


async def inject(fleet: Fleet, fault: Fault) -> None:
    """Inject a fault and end it after its duration."""
    await fault.start(fleet)
    await asyncio.sleep(fault.duration_s)
    await fault.end(fleet)


async def inject_in_sequence(fleet: Fleet, faults: list[Fault]) -> None:
    """Inject faults at their times, or after the end of the previous fault if that is later."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for fault in sorted(faults, key=lambda fault: fault.at_s):
        await asyncio.sleep(max(0.0, start_s + fault.at_s - loop.time()))
        await inject(fleet, fault)


async def inject_concurrently(fleet: Fleet, faults: list[Fault]) -> None:
    """Inject faults at their times; they may overlap."""

    async def inject_later(fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await inject(fleet, fault)

    await asyncio.gather(*(inject_later(fault) for fault in faults))


async def send_load_during(
    fleet: Fleet, faults: Awaitable[None], actions_per_s: float, duration_s: float, seed: int | str
) -> list[Event]:
    """Send browses and transactions in turn during faults; return the last response to each.

    After 500 ms without a response the caller sends a second attempt through another node.
    """
    history = HistoryWriter(fleet.history / "caller.jsonl")
    caller = Caller(fleet.workload, fleet.topology, history, timeout_ms=2000, patience_ms=500)
    caller.random.seed(seed)
    actions = cycle((caller.browse, caller.transact))
    try:
        load = send_at_rate(lambda: next(actions)(), actions_per_s, duration_s)
        events, _ = await asyncio.gather(load, faults)
        await asyncio.gather(*caller.attempt_tasks)
    finally:
        await caller.session.close()
    return events


def choose_fault_pair(seed: int) -> list[Fault]:
    """Return two overlapping faults of different types; ten consecutive seeds cover all pairs."""
    random = Random(seed)
    pairs = list(combinations(PAIRED_TYPES, 2))
    kinds = random.sample(pairs[seed % len(pairs)], 2)
    at_s = random.uniform(*FIRST_FAULT_AT_S)
    faults: list[Fault] = []
    for kind in kinds:
        duration_s = random.uniform(*(PAUSE_DURATION_S if kind is NodePause else FAULT_DURATION_S))
        target = random.randint(0, 99)
        faults.append(kind(target, at_s, duration_s))
        at_s += random.uniform(0, min(1.5, duration_s))
    if all(kind in NODE_TYPES for kind in kinds):
        # One node cannot have two node faults at the same time, so the next VM gets the second one.
        faults[1] = evolve(faults[1], target=faults[0].target + 1)
    return faults
