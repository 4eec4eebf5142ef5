"""Load of the backend servers that a node sends calls to."""

from attrs import define, field


@define(eq=False)
class TargetLoad:
    """Load of one backend server: calls in flight of this node, last report and failure rate.

    `failures` counts consecutive calls without a response, which show that the server has
    terminated or cannot be reached.
    """

    server_id: str
    in_flight: int = 0
    reported: int = 0
    in_flight_at_report: int = 0
    refused_until_ms: int = 0
    failure_rate: float = 0.0
    failures: int = 0
    # Response time relative to the usual one of the routes, and the time of the last measurement.
    slowness: float = 1.0
    slowness_ms: int = 0
    ejected_until_ms: int = 0


@define(eq=False)
class LoadTable:
    """Loads of backend servers by id, and response times and failure rates by route."""

    data_centre: str
    targets: dict[str, TargetLoad] = field(factory=dict)
    # Usual response time by route, in ms.
    usual_ms: dict[str, float] = field(factory=dict)
    # Failure rate across all servers, by route.
    failure_rates: dict[str, float] = field(factory=dict)
