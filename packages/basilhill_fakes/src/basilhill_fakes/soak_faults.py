"""Faults of a soak, chosen by a seed and injected from outside the node programs."""

import asyncio
import signal
from heapq import nsmallest
from typing import Protocol

from attrs import define
from basilhill.queries.cohorts import hash_of
from basilhill.queries.subscribers import MIN_SUBSCRIBERS, SUBSTITUTES

from basilhill_fakes.fault_proxy import LinkFault
from basilhill_fakes.platform_store import PathFault
from basilhill_fakes.soak_disruptions import record_end, record_start
from basilhill_fakes.soak_fleet import SoakFleet, SoakVm
from basilhill_fakes.soak_records import AcknowledgedChange
from basilhill_fakes.soak_store_faults import (
    CutFromStore,
    CutWatches,
    DisturbStore,
    ForgetHistory,
    LoseResponses,
    Scope,
)

# Longer than the platform allows a server to finish after it reported that it drains.
DRAIN_WAIT_S = 2.5
STOP_TIMEOUT_S = 8.0
RESTART_DELAY_S = (0.1, 1.0)
# Time until a server writes its entry again, which it does every heartbeat.
REWRITE_DELAY_S = (0.1, 1.5)
# Part of the servers that start again under the id that they had.
SAME_ID_SHARE = 0.3
# Times for which a slow node is suspended and runs, in turn.
SLOW_STOPPED_S, SLOW_RUNNING_S = 0.08, 0.02


class Fault(Protocol):
    """Fault of one VM or of the store."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        """Start the fault, and end it after `duration_s` if its type has a duration."""
        ...


@define
class KillNode:
    """Crash of a node that is started again."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        async with vm.restart_lock:
            disruption = record_start(fleet, "kill", vm, planned=False)
            fleet.signal(vm, signal.SIGKILL)
            await vm.process.wait()
            await asyncio.sleep(fleet.random.uniform(*RESTART_DELAY_S))
            await fleet.start_node(vm)
            record_end(fleet, disruption)
            await fleet.wait_ready(vm)


@define
class StopNode:
    """Graceful stop of a node and restart; the node is killed if it exceeds STOP_TIMEOUT_S."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        async with vm.restart_lock:
            disruption = record_start(fleet, "term", vm, planned=True)
            fleet.signal(vm, signal.SIGTERM)
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await vm.process.wait()
            except TimeoutError:
                fleet.signal(vm, signal.SIGKILL)
                await vm.process.wait()
                disruption.planned = False
            await fleet.start_node(vm)
            record_end(fleet, disruption)
            await fleet.wait_ready(vm)


@define
class PauseNode:
    """Suspension of a node process."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        async with vm.restart_lock:
            disruption = record_start(fleet, "pause", vm, planned=False)
            fleet.signal(vm, signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            fleet.signal(vm, signal.SIGCONT)
            record_end(fleet, disruption)


@define
class SlowNode:
    """Node process that runs for a fifth of the time."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        async with vm.restart_lock:
            disruption = record_start(fleet, "slow", vm, planned=False)
            for _ in range(int(duration_s / (SLOW_STOPPED_S + SLOW_RUNNING_S))):
                fleet.signal(vm, signal.SIGSTOP)
                await asyncio.sleep(SLOW_STOPPED_S)
                fleet.signal(vm, signal.SIGCONT)
                await asyncio.sleep(SLOW_RUNNING_S)
            record_end(fleet, disruption)


@define
class FreezeFeeds:
    """Suspension of all nodes that the others of a data centre ask for changes."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        asked = nsmallest(
            MIN_SUBSCRIBERS + SUBSTITUTES,
            (one for one in fleet.vms if one.zone == vm.zone),
            key=lambda one: hash_of(one.address),
        )
        pause = PauseNode()
        await asyncio.gather(*(pause.run(fleet, one, duration_s) for one in asked))


@define
class Overlapping:
    """Several faults of VMs chosen at random, in series and overlapping."""

    faults: tuple[Fault, ...]
    longest_delay_s: float

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        count = fleet.random.randint(1, 3)
        await asyncio.gather(*(self.run_one(fleet, duration_s) for _ in range(count)))

    async def run_one(self, fleet: SoakFleet, duration_s: float) -> None:
        fault, vm = fleet.random.choice(self.faults), fleet.random.choice(fleet.vms)
        await asyncio.sleep(fleet.random.uniform(0, self.longest_delay_s))
        await fault.run(fleet, vm, fleet.random.uniform(0, duration_s))


@define
class ReloadNode:
    """Change of the settings file of a node, with or without a signal."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "reload", vm, planned=True)
        fleet.write_settings(vm, retry_ratio=fleet.random.choice((0.1, 0.2, 0.3)))
        if fleet.random.random() < 0.7:
            fleet.signal(vm, signal.SIGHUP)
        await asyncio.sleep(duration_s)
        record_end(fleet, disruption)


@define
class DisturbLink:
    """Fault of the proxied connections to a node or to a backend server."""

    to_server: bool
    fault: LinkFault

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        link = vm.server_link if self.to_server else vm.peer_link
        disruption = record_start(fleet, f"link {self.fault.value}", vm, planned=False)
        link.set_fault(self.fault)
        await asyncio.sleep(duration_s)
        link.set_fault(LinkFault.NONE)
        record_end(fleet, disruption)


@define
class MoveRoute:
    """New configuration that moves a route to the other service."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "configuration", None, planned=True)
        is_moved = fleet.routes["/move/"]["service"] == "deposits"
        fleet.change_route("/move/", service="calendar" if is_moved else "deposits")
        record_end(fleet, disruption)


@define
class ReplaceServer:
    """Deregistration of a server, with or without drain, and registration under a new id."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        async with vm.restart_lock:
            disruption = record_start(fleet, "replace", vm, planned=True)
            server_id = vm.server.server_id
            if fleet.random.random() < 0.7:
                fleet.register(vm, "draining")
            else:
                fleet.store.remove(f"servers/{server_id}")
            now_ms = fleet.clock.now_ms()
            fleet.history.acknowledged_changes.append(
                AcknowledgedChange("drain", server_id, now_ms)
            )
            record_end(fleet, disruption)
            await asyncio.sleep(DRAIN_WAIT_S)
            if f"servers/{server_id}" in fleet.store.items:
                fleet.store.remove(f"servers/{server_id}")
            vm.server.server_id = f"{server_id}x"
            fleet.register(vm, "ready")


@define
class FailServer:
    """Backend server that rejects or resets requests."""

    mode: str

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, f"server {self.mode}", vm, planned=False)
        setattr(vm.server, self.mode, True)
        await asyncio.sleep(duration_s)
        setattr(vm.server, self.mode, False)
        record_end(fleet, disruption)


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
    *(DisturbStore(fault) for fault in PathFault),
    ForgetHistory(),
    *(FailServer(mode) for mode in ("rejects", "resets")),
)
# Faults of the store, which leave all machines out of touch.
STORE_FAULTS: tuple[Fault, ...] = (
    *(DisturbStore(fault, scope) for fault in PathFault for scope in Scope),
    *(LoseResponses(scope) for scope in (*Scope, *Scope, *Scope)),
    *(CutWatches(scope) for scope in Scope),
    ForgetHistory(),
)
# Faults of single nodes, which leave the others in touch.
NODE_FAULTS: tuple[Fault, ...] = (
    KillNode(),
    StopNode(),
    PauseNode(),
    SlowNode(),
    FreezeFeeds(),
    CutFromStore(),
)
