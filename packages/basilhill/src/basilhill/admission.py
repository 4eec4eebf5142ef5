"""State of the admission controller of a backend server."""

from collections import Counter, deque

from attrs import define, field, frozen

from basilhill.calls import CallContext, PriorityClass

CEILING_WINDOWS = 6
"""Level windows for which origin nodes may still refuse a cohort after the admission level fell.

Origin nodes receive a new level with a delay.
"""

QueueKey = tuple[int, int, int, int]
"""Class, depth, deadline and arrival of a queued call; the greatest key gets the next slot."""


CallKind = tuple[PriorityClass, str]
"""Class and call name for which arrivals per millisecond and cohort are measured."""


@frozen
class QueuedCall:
    """Call that waits for a slot."""

    key: QueueKey
    call_id: str
    context: CallContext
    enqueued_ms: int


@define
class CallTimes:
    """Measured times of one kind of call.

    A call also occupies its slot while it waits for its internal calls. Its own time excludes this
    wait, so that a slow downstream service does not look like congestion of this server.
    """

    slot_time_ms: float
    # Minimum since the last but one rotation, and minimum since the last rotation. Rotations let
    # the minimum rise again.
    min_processing_ms: float
    next_min_processing_ms: float
    rotated_ms: int


@define
class LevelWindow:
    """Queue delays and arrivals between two adjustments of the admission level."""

    started_ms: int = 0
    delays_ms: list[int] = field(factory=list)
    arrivals: Counter[CallKind] = field(factory=Counter)


@define
class LimitPeriod:
    """Measurements between two decisions about the concurrency limit."""

    started_ms: int = 0
    latency_inflation_sum: float = 0.0
    calls: int = 0
    # Slot time used from the start of the process to the start of this period.
    busy_ms: float = 0.0


@define
class LimitProbe:
    """Limit, calls in flight and latency inflation before a lower limit was probed."""

    limit: float
    mean_in_flight: float
    latency_inflation: float
    # Whether the first period, which contains calls started under the previous limit, has ended.
    transition_ended: bool = False


@define
class AdmissionState:
    """Concurrency limit, queue and admission level of one backend server."""

    slots: int
    queue_limit: int
    queue_ms: int
    limit: float
    in_flight: int = 0
    level: int = 0
    backend_available: bool = True
    # Moving average of the slot time of all calls.
    service_ms: float = 0.0
    sequence: int = 0
    queue: list[QueuedCall] = field(factory=list)
    waiting: dict[str, QueuedCall] = field(factory=dict)
    times: dict[str, CallTimes] = field(factory=dict)
    window: LevelWindow = field(factory=LevelWindow)
    # Admission levels of the last windows.
    levels: deque[int] = field(factory=lambda: deque([0], maxlen=CEILING_WINDOWS))
    # Estimated arrivals per ms and cohort, by kind of call.
    densities: dict[CallKind, float] = field(factory=dict)
    # Demand that the admission level admits, relative to the concurrency limit.
    headroom: float = 1.0
    # Consecutive windows with a queue delay above the target.
    delayed_windows: int = 0
    # Moving average of the used share of the concurrency limit.
    used_share: float = 0.0
    # Slot time used from the start of the process to `busy_changed_ms`.
    busy_ms: float = 0.0
    busy_changed_ms: int = 0
    # Slot time used from the start of the process to the start of the current level window.
    window_busy_ms: float = 0.0
    period: LimitPeriod = field(factory=LimitPeriod)
    probe: LimitProbe | None = None
    probe_pause_ms: int = 0
    probe_after_ms: int = 0
    latency_inflation: float = 1.0
