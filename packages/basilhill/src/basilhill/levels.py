"""Admission levels: the urgency that a request needs at the current load of a backend server."""

from attrs import define, field

# Level that admits all requests before a configuration is known. Ranks are the priorities of its
# routes, which are smaller.
HIGHEST_LEVEL = 40.0


@define(eq=False)
class RankAdmissionLevel:
    """Admission level of one backend server and the demand of all customers.

    A request is admitted if its rank plus a random number below 1 is less than the level: level
    5.3 admits all ranks below 5 and 3 in 10 requests of rank 5. Work is scaled to the demand
    without refusals: a call counts 10 / 3 times if 3 in 10 requests of its rank are admitted.
    """

    highest: float
    level: float
    adjusted_ms: int = 0
    # Slot time in ms, or expected retries, of the calls since the last adjustment, by rank.
    work: dict[int, float] = field(factory=dict)
    # Average work per ms of the requests of each rank.
    demand: dict[int, float] = field(factory=dict)


@define
class RouteLevelReport:
    """Level of a route at one server, and the time of the report."""

    level: float
    reported_ms: int


@define(eq=False)
class RouteLevels:
    """Reported levels by route and server, and the routes that each route calls."""

    highest: float
    reports: dict[str, dict[str, RouteLevelReport]] = field(factory=dict)
    called: dict[str, set[str]] = field(factory=dict)
