"""Time that messages of one stream spent on the way."""

from attrs import define


@define
class TransitMeter:
    """Hold the least difference between two clocks over the last one to two windows.

    The clocks of two nodes have different origins, so only the excess over the fastest message
    is known. The windows bound the effect of clock drift.
    """

    window_ms: int = 60_000
    window_start_ms: int = 0
    least_ms: int | None = None
    least_before_ms: int | None = None
