"""Faults of single VMs, which tests draw at random and bring about at planned times."""

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
    """Bring about one fault at a time, and undo it after a duration."""

    target: int
    at_s: float
    duration_s: float

    async def start(self, fleet: Fleet) -> None:
        """Bring the fault about."""
        ...

    async def end(self, fleet: Fleet) -> None:
        """Undo the fault; return once what it hit works again."""
        ...


@frozen
class TimedFault:
    """Hold which VM a fault hits and when, in seconds after the start of the load."""

    target: int
    at_s: float
    duration_s: float


@frozen
class NodeCrash(TimedFault):
    """Kill a node, and start it again after a time."""

    async def start(self, fleet: Fleet) -> None:
        """Kill the node."""
        await kill(fleet, f"node-{target_of(fleet, self.target).address}")

    async def end(self, fleet: Fleet) -> None:
        """Start the node; return once it is ready."""
        await fleet.start_node(target_of(fleet, self.target))


@frozen
class BackendCrash(TimedFault):
    """Kill a backend server, and start it again after a time."""

    async def start(self, fleet: Fleet) -> None:
        """Kill the backend server."""
        await kill(fleet, f"backend-{target_of(fleet, self.target).address}")

    async def end(self, fleet: Fleet) -> None:
        """Start the backend server; return once it serves."""
        await fleet.start_backend(target_of(fleet, self.target))


@frozen
class NodePause(TimedFault):
    """Stop a node for a time."""

    async def start(self, fleet: Fleet) -> None:
        """Stop the node."""
        fleet.signal(f"node-{target_of(fleet, self.target).address}", signal.SIGSTOP)

    async def end(self, fleet: Fleet) -> None:
        """Let the node run on."""
        fleet.signal(f"node-{target_of(fleet, self.target).address}", signal.SIGCONT)


@frozen
class NodeCut(TimedFault):
    """Cut a node off all others in both directions for a time."""

    async def start(self, fleet: Fleet) -> None:
        """Cut the node off, at both ends."""
        vm = target_of(fleet, self.target)
        others = [other for other in fleet.topology.vms if other != vm]
        await set_cut(fleet, vm, others)
        for other in others:
            await set_cut(fleet, other, [vm])

    async def end(self, fleet: Fleet) -> None:
        """Let all messages pass again."""
        for vm in fleet.topology.vms:
            await set_cut(fleet, vm, [])


@frozen
class LinkCut(TimedFault):
    """Cut a node off every second one of the others in both directions for a time.

    The node's own end holds all messages back, so it works while another node is paused or down.
    """

    async def start(self, fleet: Fleet) -> None:
        """Cut the node off, at its own end."""
        vm = target_of(fleet, self.target)
        others = [other for other in fleet.topology.vms if other != vm]
        await set_cut(fleet, vm, others[self.target % 2 :: 2])

    async def end(self, fleet: Fleet) -> None:
        """Let all messages of the node pass again."""
        await set_cut(fleet, target_of(fleet, self.target), [])


@frozen
class PlatformOutage(TimedFault):
    """Let the platform answer nothing for a time."""

    async def start(self, fleet: Fleet) -> None:
        """Let the platform answer nothing."""
        await fleet.put(f"{fleet.topology.platform_url}/test/faults", {"down": True})

    async def end(self, fleet: Fleet) -> None:
        """Let the platform answer again."""
        await fleet.put(f"{fleet.topology.platform_url}/test/faults", {"down": False})


@frozen
class BackendSlowness(TimedFault):
    """Make a backend server five times slower for a time."""

    async def start(self, fleet: Fleet) -> None:
        """Make the server slow."""
        await set_slow_factor(fleet, target_of(fleet, self.target), 5.0)

    async def end(self, fleet: Fleet) -> None:
        """Give the server its usual speed."""
        await set_slow_factor(fleet, target_of(fleet, self.target), 1.0)


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


async def kill(fleet: Fleet, process: str) -> None:
    """Kill a process; return once it has ended."""
    fleet.signal(process, signal.SIGKILL)
    await fleet.wait_ended(process)


async def set_cut(fleet: Fleet, vm: Vm, others: list[Vm]) -> None:
    """Let a VM's node pass no messages to and from the nodes of others, and all besides."""
    await fleet.put(f"{vm.control_url}/test/cut", [other.node for other in others])


async def set_slow_factor(fleet: Fleet, vm: Vm, factor: float) -> None:
    """Make a backend server slower by a factor."""
    await fleet.put(f"{vm.backend_url}/test/faults", {"slow_factor": factor})


async def bring_about(fleet: Fleet, fault: Fault) -> None:
    """Bring a fault about, and undo it after its duration."""
    await fault.start(fleet)
    await asyncio.sleep(fault.duration_s)
    await fault.end(fleet)


async def bring_about_in_turn(fleet: Fleet, faults: list[Fault]) -> None:
    """Bring faults about at their times or, if later, when the one before is undone."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for fault in sorted(faults, key=lambda fault: fault.at_s):
        await asyncio.sleep(max(0.0, start_s + fault.at_s - loop.time()))
        await bring_about(fleet, fault)


async def bring_about_together(fleet: Fleet, faults: list[Fault]) -> None:
    """Bring faults about at their times, whether others still last or not."""

    async def bring_about_later(fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        await bring_about(fleet, fault)

    await asyncio.gather(*(bring_about_later(fault) for fault in faults))


async def send_during(
    fleet: Fleet, faults: Awaitable[None], actions_per_s: float, duration_s: float, seed: int | str
) -> list[Event]:
    """Send browses and transactions in turn while faults happen; return the last answer to each.

    After 500 ms without an answer the caller sends another copy through another node.
    """
    history = HistoryWriter(fleet.history / "caller.jsonl")
    caller = Caller(fleet.workload, fleet.topology, history, timeout_ms=2000, patience_ms=500)
    caller.random.seed(seed)
    actions = cycle((caller.browse, caller.transact))
    try:
        sending = send_at_rate(lambda: next(actions)(), actions_per_s, duration_s)
        events, _ = await asyncio.gather(sending, faults)
        await asyncio.gather(*caller.copies)
    finally:
        await caller.session.close()
    return events


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
