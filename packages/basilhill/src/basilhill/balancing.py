"""What a node knows of the load of the backend servers that it sends calls to."""

from attrs import define, field


@define(eq=False)
class TargetLoad:
    """Hold the own calls in flight to one server, its last report and its share of failures.

    Failures in a row count only what shows that the server or the way to it is gone.
    """

    server_id: str
    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    refused_until_ms: int = 0
    failure_rate: float = 0.0
    failures: int = 0
    # Time of its answers over the usual time of their routes, and when it was measured last.
    slowness: float = 1.0
    slowness_ms: int = 0
    ejected_until_ms: int = 0


@define(eq=False)
class LoadTable:
    """Hold the loads of servers by id."""

    data_centre: str
    targets: dict[str, TargetLoad] = field(factory=dict)
    # Usual time to an answer by route, in ms.
    usual_ms: dict[str, float] = field(factory=dict)
    # Share of the answers of all servers that report a failure, by route.
    failure_rates: dict[str, float] = field(factory=dict)
