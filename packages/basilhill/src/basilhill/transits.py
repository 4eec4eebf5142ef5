"""Transit time of the messages of one stream."""

from attrs import define


@define
class TransitMeter:
    """Least difference between receive and send times over the last one to two windows.

    The clocks of two nodes have different origins, so only the excess transit time over the
    fastest message is known. The windows bound the effect of clock drift.
    """

    window_ms: int = 60_000
    window_start_ms: int = 0
    least_ms: int | None = None
    least_before_ms: int | None = None
