"""The retries that this node may send to one service, without shared state."""

from collections import deque

from attrs import define, field


@define(eq=False)
class RetryQuota:
    """Hold the requests for a service and the retries sent to it within a window."""

    ratio: float
    window_ms: int
    minimum: float
    requests: deque[int] = field(factory=deque)
    retries: deque[int] = field(factory=deque)
