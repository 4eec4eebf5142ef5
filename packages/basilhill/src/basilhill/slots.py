"""The slots of a backend server and the calls that wait for one."""

from enum import Enum

from attrs import define, field, frozen


class SlotDecision(Enum):
    """Tell what becomes of a call that asks for a slot."""

    STARTED = "started"
    QUEUED = "queued"
    REFUSED = "refused"


@frozen(order=True)
class SlotRequest:
    """Ask for a slot; lower ranks go first, and the wait never exceeds the patience."""

    rank: int
    sequence: int
    patience_ms: int = field(order=False)
    arrived_ms: int = field(order=False)


@define(eq=False)
class SlotGate:
    """Hold the slots of one backend server; `service_ms` is how long a call holds one."""

    slots: int
    in_flight: int = 0
    waiting: list[SlotRequest] = field(factory=list)
    service_ms: float = 20.0
    sequence: int = 0
