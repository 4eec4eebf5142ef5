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
class PeerLease:
    """Hold until when a peer counts as up; a peer without a lease is unknown."""

    until_ms: int
    digest: str = ""


@define
class FleetView:
    """Hold the latest fleet list and what open streams tell of its VMs."""

    vms: dict[str, VmEntry] = field(factory=dict)
    incarnations: dict[str, str] = field(factory=dict)
    leases: dict[str, PeerLease] = field(factory=dict)
    # Live nodes by data centre in rendezvous order, computed when the list changes.
    orders: dict[str, list[str]] = field(factory=dict)


@define
class FleetReads:
    """Hold what one reader read of the fleet list, by shard."""

    texts: dict[str, str] = field(factory=dict)
    # How many reads in a row differed from what is held.
    differing: dict[str, int] = field(factory=dict)
