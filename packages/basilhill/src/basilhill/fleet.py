"""The fleet as a node sees it."""

from enum import Enum

from attrs import define, field, frozen

from basilhill.verdicts import ServiceLevel


class VmState(Enum):
    """Tell whether a VM serves or is leaving."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class VmEntry:
    """Hold one VM of the fleet list."""

    node: str
    service: str
    data_centre: str
    state: VmState = VmState.LIVE


@frozen
class Heartbeat:
    """Report the state and load of a node to its peers."""

    state: VmState
    level: int
    in_flight: int
    limit: int
    digest: str = ""
    levels: tuple[ServiceLevel, ...] = ()


@define
class FleetView:
    """Hold the latest fleet list."""

    vms: dict[str, VmEntry] = field(factory=dict)
    incarnations: dict[str, str] = field(factory=dict)
