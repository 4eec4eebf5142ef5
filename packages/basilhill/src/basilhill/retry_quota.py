"""Quota of retries from this node to one service, without shared state."""

from collections import deque

from attrs import define, field

from basilhill.levels import RankAdmissionLevel

# Level that admits the retries of all ranks.
HIGHEST_RETRY_LEVEL = 1_000_000.0


@define(eq=False)
class RetryQuota:
    """Requests for a service and retries sent to it within a window.

    While servers refuse calls, the level admits the ranks whose expected retries fit the quota.
    """

    ratio: float
    window_ms: int
    minimum: float
    requests: deque[int] = field(factory=deque)
    retries: deque[int] = field(factory=deque)
    # Moving average of the share of calls that the servers refused.
    refusal_rate: float = 0.0
    level: RankAdmissionLevel = field(
        factory=lambda: RankAdmissionLevel(HIGHEST_RETRY_LEVEL, HIGHEST_RETRY_LEVEL)
    )
