"""What a node knows of the servers that it routes to."""

from attrs import define, field

from basilhill.documents import Document
from basilhill.verdicts import ServiceLevel


@define(eq=False)
class ServerLoad:
    """Hold own measurements and reports of one backend server.

    A reported limit of 0 means that the server cannot run calls at present. The restart time is
    when this node last noticed that the VM or its backend server had restarted, 0 for never.
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
    """Hold the level of a service as one peer reported it.

    A report of a sibling, a node of this node's own service, is not passed on: siblings that
    repeat each other's reports would keep a level alive for ever.
    """

    level: int
    reported_ms: int
    sibling: bool = False


@define
class PathLevel:
    """Keep the strictest admission level on the way of a call for a few milliseconds."""

    document: Document
    service: str
    level: int
    computed_ms: int


@define
class Subset:
    """Hold the servers of one service that this node uses, nearest data centre first."""

    servers: list[ServerLoad]
    oldest_ms: int
    used_ms: int = 0
    opened: bool = False


@define
class RoutingTable:
    """Hold the servers of the services that a node calls, and the levels reported on the way."""

    data_centre: str
    node: str = ""
    subset_size: int = 20
    ramp_ms: int = 10_000
    servers: dict[str, ServerLoad] = field(factory=dict)
    levels: dict[str, dict[str, LevelReport]] = field(factory=dict)
    subsets: dict[str, Subset] = field(factory=dict)
    path_levels: dict[str, PathLevel] = field(factory=dict)


__all__ = ["LevelReport", "RoutingTable", "ServerLoad", "ServiceLevel", "PathLevel", "Subset"]
