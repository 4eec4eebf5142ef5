"""Admission levels: how urgent a customer's request must be for a server's present load."""

from attrs import define, field

# Above the ranks of all requests: priorities of configurations are small numbers.
HIGHEST_LEVEL = 40.0


@define(eq=False)
class AdmissionLevel:
    """Hold the level of one server and the work that all customers together ask of it.

    Requests are admitted whose rank plus a random number below 1 is less than the level, so that
    the level 5.3 admits all ranks below 5 and 3 in 10 requests of rank 5. Work is counted as if
    every request had been admitted: a call whose request was one of 3 in 10 counts 10 / 3 times.
    """

    highest: float
    level: float
    adjusted_ms: int = 0
    # Slot time in ms, or expected retries, of the calls since then by rank.
    work: dict[int, float] = field(factory=dict)
    # Work a millisecond of the requests of each rank.
    demand: dict[int, float] = field(factory=dict)


@define
class LevelReport:
    """Hold the level of a route at one server and when it was reported."""

    level: float
    reported_ms: int


@define(eq=False)
class RouteLevels:
    """Hold the reported levels of routes by server, and the routes called within each route."""

    highest: float
    reports: dict[str, dict[str, LevelReport]] = field(factory=dict)
    called: dict[str, set[str]] = field(factory=dict)
