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
class ConcurrencyLimiter:
    """Concurrency limiter of one backend server; `service_ms` is the mean slot time of a call."""

    slots: int
    in_flight: int = 0
    waiting: list[SlotRequest] = field(factory=list)
    service_ms: float = 20.0
    sequence: int = 0
