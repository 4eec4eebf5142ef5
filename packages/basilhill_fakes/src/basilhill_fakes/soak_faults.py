"""The faults of a soak, drawn from a seed, injected from outside the programs."""

import asyncio
import signal
from typing import Protocol

from attrs import define

from basilhill_fakes.fault_proxy import LinkFault
from basilhill_fakes.soak_fleet import SoakFleet, SoakMachine
from basilhill_fakes.soak_records import Acknowledged, Disruption

# Beyond the time that the platform's pages give a server after it reported that it drains.
DRAIN_S = 2.5
STOP_S = 8.0
RESTART_S = (0.1, 1.0)


class Fault(Protocol):
    """Disturb a fleet for a while."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        ...


@define
class KillNode:
    """Kill a node, and start it again."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        async with machine.turn:
            disruption = begin(fleet, "kill", machine, planned=False)
            fleet.signal(machine, signal.SIGKILL)
            await machine.process.wait()
            await asyncio.sleep(fleet.random.uniform(*RESTART_S))
            await fleet.start_node(machine)
            await fleet.wait_ready(machine)
            end(fleet, disruption)


@define
class StopNode:
    """Tell a node to stop, and start it again when it has; kill it after its grace time."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        async with machine.turn:
            disruption = begin(fleet, "term", machine, planned=True)
            fleet.signal(machine, signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_S):
                    await machine.process.wait()
            except TimeoutError:
                fleet.signal(machine, signal.SIGKILL)
                await machine.process.wait()
                disruption.planned = False
            await fleet.start_node(machine)
            await fleet.wait_ready(machine)
            end(fleet, disruption)


@define
class PauseNode:
    """Suspend a node."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        async with machine.turn:
            disruption = begin(fleet, "pause", machine, planned=False)
            fleet.signal(machine, signal.SIGSTOP)
            await asyncio.sleep(for_s)
            fleet.signal(machine, signal.SIGCONT)
            end(fleet, disruption)


@define
class ReloadNode:
    """Change the settings file of a node, with a signal or silently."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        disruption = begin(fleet, "reload", machine, planned=True)
        fleet.write_settings(machine, retry_ratio=fleet.random.choice((0.1, 0.2, 0.3)))
        if fleet.random.random() < 0.7:
            fleet.signal(machine, signal.SIGHUP)
        await asyncio.sleep(for_s)
        end(fleet, disruption)


@define
class DisturbLink:
    """Disturb the way to a node or to a backend server."""

    to_server: bool
    fault: LinkFault

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        link = machine.server_link if self.to_server else machine.peer_link
        disruption = begin(fleet, f"link {self.fault.value}", machine, planned=False)
        link.set_fault(self.fault)
        await asyncio.sleep(for_s)
        link.set_fault(LinkFault.NONE)
        end(fleet, disruption)


@define
class DisturbStore:
    """Let the store be down, silent or slow, or forget its history."""

    how: str

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        disruption = begin(fleet, f"store {self.how}", None, planned=False)
        store = fleet.store
        if self.how == "forget":
            store.forget_history()
        elif self.how == "slow":
            store.delay_s = 0.25
        elif self.how == "silent":
            store.answering.clear()
        else:
            store.down = True
        await asyncio.sleep(for_s)
        store.down, store.delay_s = False, 0.0
        store.answering.set()
        end(fleet, disruption)


@define
class MoveRoute:
    """Move a route to the other service by a new configuration."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        disruption = begin(fleet, "configuration", None, planned=True)
        service = "deposits" if fleet.moved_to == "calendar" else "calendar"
        fleet.move_route(service)
        fleet.history.acknowledged.append(Acknowledged("service", service, fleet.clock.now_ms()))
        end(fleet, disruption)


@define
class ReplaceServer:
    """Let a server leave, with or without notice, and come back under another id."""

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        async with machine.turn:
            disruption = begin(fleet, "replace", machine, planned=True)
            server_id = machine.server.server_id
            if fleet.random.random() < 0.7:
                fleet.register(machine, "draining")
            else:
                fleet.store.remove(f"servers/{server_id}")
            now_ms = fleet.clock.now_ms()
            fleet.history.acknowledged.append(Acknowledged("drain", server_id, now_ms))
            end(fleet, disruption)
            await asyncio.sleep(DRAIN_S)
            if f"servers/{server_id}" in fleet.store.items:
                fleet.store.remove(f"servers/{server_id}")
            machine.server.server_id = f"{server_id}x"
            fleet.register(machine, "ready")


@define
class FailServer:
    """Let a server refuse or reset requests."""

    how: str

    async def run(self, fleet: SoakFleet, machine: SoakMachine, for_s: float) -> None:
        """Begin the fault, and end it after a time."""
        disruption = begin(fleet, f"server {self.how}", machine, planned=False)
        setattr(machine.server, self.how, True)
        await asyncio.sleep(for_s)
        setattr(machine.server, self.how, False)
        end(fleet, disruption)


FAULTS: tuple[Fault, ...] = (
    KillNode(),
    StopNode(),
    PauseNode(),
    ReloadNode(),
    MoveRoute(),
    MoveRoute(),
    ReplaceServer(),
    *(
        DisturbLink(to_server, fault)
        for to_server in (False, True)
        for fault in LinkFault
        if fault is not LinkFault.NONE
    ),
    *(DisturbStore(how) for how in ("down", "silent", "slow", "forget")),
    *(FailServer(how) for how in ("rejects", "resets")),
)


def begin(fleet: SoakFleet, kind: str, machine: SoakMachine | None, planned: bool) -> Disruption:
    """Record that a fault begins."""
    number = None if machine is None else machine.number
    target = "store" if machine is None else machine.server.service
    now_ms = fleet.clock.now_ms()
    disruption = Disruption(kind, target, planned, now_ms, machine=number)
    fleet.history.disruptions.append(disruption)
    return disruption


def end(fleet: SoakFleet, disruption: Disruption) -> None:
    """Record that a fault has ended."""
    disruption.ended_ms = fleet.clock.now_ms()
