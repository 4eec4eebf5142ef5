"""View of the fleet at a node."""

from enum import Enum

from attrs import define, field, frozen

from basilhill.outcomes import ServiceLevel


class VmState(Enum):
    """State of a VM of the fleet."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class VmEntry:
    """One VM of the fleet list."""

    node: str
    service: str
    data_centre: str
    state: VmState = VmState.LIVE


@frozen
class Heartbeat:
    """Report of the state and load of a node to its peers."""

    state: VmState
    level: int
    in_flight: int
    limit: int
    digest: str = ""
    levels: tuple[ServiceLevel, ...] = ()


@define
class PeerLease:
    """Lease during which a peer counts as up; without a lease the state of a peer is unknown."""

    until_ms: int
    digest: str = ""


@define
class FleetView:
    """Latest fleet list, and the incarnations and leases received on open streams."""

    vms: dict[str, VmEntry] = field(factory=dict)
    incarnations: dict[str, str] = field(factory=dict)
    leases: dict[str, PeerLease] = field(factory=dict)
    # Live nodes by data centre in rendezvous order, recomputed when the list changes.
    orders: dict[str, list[str]] = field(factory=dict)


@define
class FleetReads:
    """Last read of the fleet list by one reader, by shard."""

    texts: dict[str, str] = field(factory=dict)
    # Consecutive reads that differed from the stored shard.
    differing: dict[str, int] = field(factory=dict)
