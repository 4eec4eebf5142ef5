"""State of a server's admission controller."""

from attrs import define, field, frozen

from basilhill.calls import CallContext


@frozen(order=True)
class QueueKey:
    """Order waiting calls: class, then depth, then deadline, the best first."""

    class_rank: int
    depth_rank: int
    deadline_ms: int
    sequence: int


@frozen
class QueuedCall:
    """Hold a call that waits for a slot."""

    key: QueueKey
    call_id: str
    context: CallContext
    enqueued_ms: int


@define
class AdmissionState:
    """Hold the concurrency limit, the queue and the admission level of one server."""

    slots: int
    queue_limit: int
    queue_ms: int
    limit: float
    in_flight: int = 0
    level: int = 0
    service_ms: float = 0.0
    sequence: int = 0
    queue: dict[str, QueuedCall] = field(factory=dict)
    window_delays_ms: list[int] = field(factory=list)
