"""The retries that this node may send to one service, without shared state."""

from collections import deque

from attrs import define, field

from basilhill.levels import HIGHEST_LEVEL, AdmissionLevel


@define(eq=False)
class RetryQuota:
    """Hold the requests for a service and the retries sent to it within a window.

    The level admits the ranks whose expected retries fit the quota while servers refuse calls.
    """

    ratio: float
    window_ms: int
    minimum: float
    requests: deque[int] = field(factory=deque)
    retries: deque[int] = field(factory=deque)
    # Share of the calls sent to the service that its servers refused lately.
    refusal_rate: float = 0.0
    level: AdmissionLevel = field(factory=lambda: AdmissionLevel(HIGHEST_LEVEL, HIGHEST_LEVEL))
