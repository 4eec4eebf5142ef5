"""What a node knows of the servers that it routes to."""

from attrs import define, field

from basilhill.verdicts import ServiceLevel


@define
class ServerLoad:
    """Hold own measurements and reports of one backend server."""

    node: str
    service: str
    data_centre: str
    first_seen_ms: int
    in_flight: int = 0
    reported_in_flight: int = 0
    reported_limit: int = 1
    level: int = 0
    level_ms: int = 0
    failures: int = 0
    ejected_until_ms: int = 0
    lease_until_ms: int = 0
    leaving: bool = False
    listed_leaving: bool = False


@define
class LevelReport:
    """Hold the level of a service as one peer reported it."""

    level: int
    reported_ms: int


@define
class RoutingTable:
    """Hold the servers of the services that a node calls, and the levels reported on the way."""

    data_centre: str
    servers: dict[str, ServerLoad] = field(factory=dict)
    levels: dict[str, dict[str, LevelReport]] = field(factory=dict)


__all__ = ["LevelReport", "RoutingTable", "ServerLoad", "ServiceLevel"]
