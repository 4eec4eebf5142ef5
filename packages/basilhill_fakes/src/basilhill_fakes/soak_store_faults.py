"""Faults of the store in a soak: for all VMs, for those of one data centre, or for one VM."""

import asyncio
from enum import Enum

from attrs import define

from basilhill_fakes.platform_store import PathFault
from basilhill_fakes.soak_disruptions import record_end, record_start
from basilhill_fakes.soak_fleet import SoakFleet, SoakVm
from basilhill_fakes.store_copies import write_lost_again

COPY_AGE_S = (0.5, 6.0)
# Changes of the store that a copy lacks, besides those of servers and operator. They put the
# revisions of the new era below the known ones for a time.
LOST_WRITES_PER_S = 10
# Times for which the store is away before it comes back; at 0 only its watches may end.
AWAY_S = (0.0, 0.05, 0.5, 1.5)


class Scope(Enum):
    """VMs that a fault of the store affects."""

    ALL = "all"
    ZONE = "zone"
    VM = "vm"

    def vms(self, fleet: SoakFleet, vm: SoakVm) -> list[SoakVm]:
        """Return the affected VMs if a VM is among them."""
        if self is Scope.VM:
            return [vm]
        return [one for one in fleet.vms if self is Scope.ALL or one.zone == vm.zone]


@define
class DisturbStore:
    """Outage, unresponsiveness or slowness of the store."""

    fault: PathFault
    scope: Scope = Scope.ALL

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, f"store {self.fault.value}", None, planned=False)
        paths = [one.store_path for one in self.scope.vms(fleet, vm)]
        for path in paths:
            path.begin(self.fault)
        await asyncio.sleep(duration_s)
        for path in paths:
            path.end(self.fault)
        record_end(fleet, disruption)


@define
class CutFromStore:
    """Partition of one VM from the store, which excuses no other VM."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "link store", vm, planned=False)
        vm.store_path.begin(PathFault.SILENT)
        await asyncio.sleep(duration_s)
        vm.store_path.end(PathFault.SILENT)
        record_end(fleet, disruption)


@define
class LoseResponses:
    """Loss of the responses to all open requests to the store, such as watches."""

    scope: Scope = Scope.ALL

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "store lost", None, planned=False)
        for one in self.scope.vms(fleet, vm):
            one.store_path.lose_responses()
        record_end(fleet, disruption)


@define
class CutWatches:
    """Reset of the connections on which watches wait."""

    scope: Scope = Scope.ALL

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "store cut", None, planned=False)
        for one in self.scope.vms(fleet, vm):
            one.store_path.cut_watches()
        record_end(fleet, disruption)


@define
class ForgetHistory:
    """Loss of the store's event history."""

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        disruption = record_start(fleet, "store forget", None, planned=False)
        fleet.store.compact_history()
        record_end(fleet, disruption)


@define
class RestoreStore:
    """Return of the store from a copy that is some seconds old.

    The disruption ends when the store is back; what the copy lacks is written again later.
    """

    async def run(self, fleet: SoakFleet, vm: SoakVm, duration_s: float) -> None:
        copy = fleet.store.copy()
        for number in range(int(fleet.random.uniform(*COPY_AGE_S) * LOST_WRITES_PER_S)):
            await asyncio.sleep(1 / LOST_WRITES_PER_S)
            fleet.store.put("servers/x-other", b"not an entry" * (number % 2 + 1))
        away_s = fleet.random.choice(AWAY_S)
        disruption = record_start(fleet, "store copy", None, planned=False)
        if away_s:
            for one in fleet.vms:
                one.store_path.begin(PathFault.DOWN)
                one.store_path.cut_watches()
            await asyncio.sleep(away_s)
        fleet.store.restore(copy)
        if away_s:
            for one in fleet.vms:
                one.store_path.end(PathFault.DOWN)
        record_end(fleet, disruption)
        await write_lost_again(fleet.store, fleet.random)
