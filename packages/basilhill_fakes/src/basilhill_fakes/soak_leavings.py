"""Backend servers that leave in a soak, and entries that hide it from the nodes."""

import asyncio
from typing import Any

from attrs import define, field

from basilhill_fakes.platform_store import PathFault
from basilhill_fakes.soak_disruptions import record_end, record_start
from basilhill_fakes.soak_faults import (
    DRAIN_WAIT_S,
    RESTART_DELAY_S,
    Fault,
    KillNode,
    PauseNode,
    StopNode,
)
from basilhill_fakes.soak_fleet import SoakFleet, SoakVm
from basilhill_fakes.soak_records import AcknowledgedChange, Restart
from basilhill_fakes.soak_store_faults import DisturbStore, ForgetHistory

STATEMENT_LEAD_S = (0.0, 1.5)
# Time until a server writes its entry again, which it does every heartbeat.
REWRITE_DELAY_S = (0.1, 1.5)
# Part of the servers that start again under the id that they had.
SAME_ID_SHARE = 0.3


@define
class LeaveServer:
    """Server that leaves, goes on to serve for a time, and is replaced by a new one.

    `states` is whether its responses say so. `notice` is what the store says before the server
    ends: that it is draining, that its entry is removed, or nothing.
    """

    states: bool
    notice: str
    status: int = 200

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        async with vm.server_lock:
            disruption = record_start(fleet, "leave", vm, planned=True)
            vm.server.says_leaving, vm.server.status = self.states, self.status
            await asyncio.sleep(fleet.random.uniform(*STATEMENT_LEAD_S))
            server_id = vm.server.server_id
            if self.notice == "draining":
                fleet.register(vm, "draining")
                self.record_left(fleet, server_id, "drain")
            elif self.notice == "removal":
                fleet.store.remove(f"servers/{server_id}")
                self.record_left(fleet, server_id, "removal")
            await asyncio.sleep(DRAIN_WAIT_S + duration_s)
            if self.notice != "removal":
                fleet.store.remove(f"servers/{server_id}")
            vm.server.says_leaving, vm.server.status = False, 200
            vm.born = fleet.clock.wall_ms()
            if fleet.random.random() < SAME_ID_SHARE:
                # Requests that were sent to the previous incarnation may still arrive.
                fleet.history.restarts.append(Restart(server_id, fleet.clock.now_ms()))
            else:
                vm.server.server_id = f"{server_id}x"
            await asyncio.sleep(fleet.random.uniform(*RESTART_DELAY_S))
            fleet.register(vm, "ready")
            record_end(fleet, disruption)

    def record_left(self, fleet: SoakFleet, server_id: str, kind: str) -> None:
        fleet.history.acknowledged_changes.append(
            AcknowledgedChange(kind, server_id, fleet.clock.now_ms())
        )


@define
class ReplaceAllServers:
    """Replacement of all servers of a service, one after the other, as for a new release."""

    states: bool
    notice: str

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        leaving = LeaveServer(self.states, self.notice)
        for one in fleet.vms:
            if one.server.service == vm.server.service:
                await leaving.run(fleet, one, fleet.random.uniform(0, duration_s))


@define
class OverwriteEntry:
    """Malformed entry under the id of a server, which then writes its own again.

    The server is one that leaves, if there is any.
    """

    changes: dict[str, Any] = field(factory=dict)
    missing: str = ""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        leaving = [one for one in fleet.vms if one.server.says_leaving or one.state == "draining"]
        vm = fleet.random.choice(leaving or [vm])
        server_id = vm.server.server_id
        if f"servers/{server_id}" not in fleet.store.items:
            return
        disruption = record_start(fleet, "entry", None, planned=True)
        entry = fleet.entry(vm, "ready") | self.changes
        entry.pop(self.missing, None)
        fleet.store.put(f"servers/{server_id}", entry)
        await asyncio.sleep(fleet.random.uniform(*REWRITE_DELAY_S))
        if f"servers/{server_id}" in fleet.store.items:
            fleet.register(vm, vm.state)
        record_end(fleet, disruption)


@define
class WriteUnreadableEntry:
    """Entry of another writer that names no server."""

    value: bytes

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "entry", None, planned=True)
        key = f"servers/x-{len(fleet.history.disruptions)}"
        fleet.store.put(key, self.value)
        await asyncio.sleep(duration_s)
        fleet.store.remove(key)
        record_end(fleet, disruption)


NOTICES: tuple[Fault, ...] = (LeaveServer(False, "draining"), LeaveServer(False, "removal"))
LEAVINGS: tuple[Fault, ...] = (
    LeaveServer(True, "draining"),
    LeaveServer(True, "draining", 500),
    LeaveServer(True, "removal"),
    LeaveServer(True, ""),
    LeaveServer(True, "", 500),
    *NOTICES,
)
# Faults that hide or delay what nodes know of leaving servers.
LEAVING_FAULTS: tuple[Fault, ...] = (
    *LEAVINGS,
    *LEAVINGS,
    KillNode(),
    StopNode(),
    PauseNode(),
    *(DisturbStore(fault) for fault in (PathFault.DOWN, PathFault.SILENT)),
    ForgetHistory(),
    WriteUnreadableEntry(b"[" * 2_000),
)
# Entries of other writers under the ids of servers.
FOREIGN_ENTRIES: tuple[Fault, ...] = (
    *(OverwriteEntry(missing=name) for name in ("version", "sequence", "born")),
    OverwriteEntry({"sequence": "1"}),
    OverwriteEntry({"state": "unknown"}),
    OverwriteEntry({"slots": -1}),
)
# Servers that leave one by one, and all those of a service in turn.
RELEASE_FAULTS: tuple[Fault, ...] = (
    *LEAVINGS,
    *(ReplaceAllServers(True, notice) for notice in ("draining", "removal", "")),
)
