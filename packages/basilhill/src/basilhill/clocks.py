"""Clocks in milliseconds."""

import time
from typing import Protocol

from attrs import define


class Clock(Protocol):
    """Clock of one process in milliseconds."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never falls."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since 1970; may jump, and differs between machines."""
        ...


class SystemClock:
    """Clock that reads the system clocks."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never falls."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return milliseconds since 1970; may jump, and differs between machines."""
        return time.time_ns() // 1_000_000


@define
class ManualClock:
    """Clock whose time tests set."""

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self.time_ms

    def wall_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        self.time_ms += duration_ms
