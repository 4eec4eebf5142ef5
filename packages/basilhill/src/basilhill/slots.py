"""Slots of a backend server and the queue of calls that wait for one."""

from enum import Enum

from attrs import define, field, frozen


class SlotDecision(Enum):
    """Decision about a call that requests a slot."""

    STARTED = "started"
    QUEUED = "queued"
    REFUSED = "refused"


@frozen(order=True)
class SlotRequest:
    """Request for a slot; lower ranks go first, and `wait_limit_ms` limits the wait."""

    rank: int
    sequence: int
    wait_limit_ms: int = field(order=False)
    arrived_ms: int = field(order=False)


@define(eq=False)
class RateLimit:
    """Token bucket of a backend server that states how many calls per second it takes.

    Each call takes a token. `stated_ms` is the time of the last response with the limit.
    """

    per_s: float
    stated_ms: int
    tokens: float = 0.0
    updated_ms: int = 0


@define(eq=False)
class ConcurrencyLimiter:
    """Limiter of one backend server; `service_ms` is the mean slot time of a call.

    `heard` is whether the server has responded to this node, so that a limit would be known.
    """

    slots: int
    in_flight: int = 0
    waiting: list[SlotRequest] = field(factory=list)
    service_ms: float = 20.0
    sequence: int = 0
    heard: bool = True
    rate: RateLimit | None = None
    # Moving average of the share of calls that the server refused, and the time of the last one.
    shed_rate: float = 0.0
    shed_ms: int = 0
