"""Records of the disruptions that the faults of a soak cause."""

from basilhill_fakes.soak_fleet import SoakFleet, SoakVm
from basilhill_fakes.soak_records import Disruption


def record_start(fleet: SoakFleet, kind: str, vm: SoakVm | None, planned: bool) -> Disruption:
    """Record the start of a fault."""
    number = None if vm is None else vm.number
    target = "store" if vm is None else vm.server.service
    now_ms = fleet.clock.now_ms()
    disruption = Disruption(kind, target, planned, now_ms, vm=number)
    fleet.history.disruptions.append(disruption)
    return disruption


def record_end(fleet: SoakFleet, disruption: Disruption) -> None:
    """Record the end of a fault."""
    disruption.ended_ms = fleet.clock.now_ms()
