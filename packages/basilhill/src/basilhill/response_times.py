"""Response times of a backend server by route."""

from collections import deque

from attrs import define, field

# Last calls of a route that a prediction uses. A server of a large fleet gets few calls a second
# and must be found slow within one or two seconds.
SAMPLES = 10


@define(eq=False)
class RouteTimes:
    """Response times of the last calls of one route, in ms, infinite for calls that were cut off.

    `running` has the start times of the calls that run now by request id, oldest first.
    """

    samples_ms: deque[float] = field(factory=lambda: deque(maxlen=SAMPLES))
    running: dict[str, int] = field(factory=dict)


@define(eq=False)
class ResponseTimes:
    """Response times of one backend server by route."""

    routes: dict[str, RouteTimes] = field(factory=dict)
