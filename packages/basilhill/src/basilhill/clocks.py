"""Clocks in milliseconds."""

import time
from typing import Protocol

from attrs import define


class Clock(Protocol):
    """Tell the time of one process in milliseconds."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never falls."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since 1970; may jump, and differs between machines."""
        ...


class SystemClock:
    """Read the clocks of the system."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never falls."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since 1970; may jump, and differs between machines."""
        return time.time_ns() // 1_000_000


@define
class ManualClock:
    """Hold a time that tests set."""

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move the time forward by a duration in milliseconds."""
        self.time_ms += duration_ms
