"""Load and admission levels of the servers that a node routes to."""

from attrs import define, field

from basilhill.documents import Document
from basilhill.outcomes import ServiceLevel


@define(eq=False)
class ServerLoad:
    """Measurements by this node and last report of one backend server.

    A reported limit of 0 means that the server cannot run calls now. `restarted_ms` is the time at
    which this node last detected a restart of the VM or its backend server, 0 if never.
    """

    node: str
    service: str
    data_centre: str
    first_seen_ms: int
    restarted_ms: int = 0
    in_flight: int = 0
    in_flight_at_report: int = 0
    reported_in_flight: int = 0
    reported_limit: int = 1
    level: int = 0
    level_ms: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    lease_until_ms: int = 0
    leaving: bool = False
    listed_leaving: bool = False


@define
class LevelReport:
    """Level of a service reported by one peer.

    A sibling is a node of the same service as this node. Its report is not passed on, because
    siblings that repeat each other's reports would keep a level from expiring.
    """

    level: int
    reported_ms: int
    sibling: bool = False


@define
class PathLevel:
    """Strictest admission level on the path of a call, cached for a few milliseconds."""

    document: Document
    service: str
    level: int
    computed_ms: int


@define
class Subset:
    """Servers of one service that this node uses, those of its data centre first."""

    servers: list[ServerLoad]
    oldest_ms: int
    used_ms: int = 0
    streams_opened: bool = False


@define
class RoutingTable:
    """Servers of the services that a node calls, and the admission levels reported by peers."""

    data_centre: str
    node: str = ""
    subset_size: int = 20
    ramp_ms: int = 10_000
    servers: dict[str, ServerLoad] = field(factory=dict)
    levels: dict[str, dict[str, LevelReport]] = field(factory=dict)
    subsets: dict[str, Subset] = field(factory=dict)
    path_levels: dict[str, PathLevel] = field(factory=dict)


__all__ = ["LevelReport", "RoutingTable", "ServerLoad", "ServiceLevel", "PathLevel", "Subset"]
