"""Clocks in milliseconds."""

import time
from typing import Protocol

from attrs import define


class Clock(Protocol):
    """Tell the time of one process in milliseconds."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never falls."""
        ...


class MonotonicClock:
    """Read the monotonic clock of the system."""

    def now_ms(self) -> int:
        """Return milliseconds since an arbitrary start; never falls."""
        return time.monotonic_ns() // 1_000_000


@define
class ManualClock:
    """Hold a time that tests set."""

    time_ms: int = 0

    def now_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self.time_ms

    def advance(self, duration_ms: int) -> None:
        """Move the time forward by a duration in milliseconds."""
        self.time_ms += duration_ms


# Clocks that drift apart by 100 ppm move the offset by 6 ms over two windows.
OFFSET_WINDOW_MS = 30_000


@define
class SocketDelay:
    """Tell how long messages of one sender waited in sockets, from both monotonic clocks."""

    window_start_ms: int = 0
    least: int | None = None
    earlier_least: int | None = None

    def observe(self, sent_ms: int, now_ms: int) -> int:
        """Return by how many milliseconds a message took longer than the fastest lately."""
        offset = now_ms - sent_ms
        if self.least is None or now_ms - self.window_start_ms >= OFFSET_WINDOW_MS:
            self.window_start_ms, self.earlier_least, self.least = now_ms, self.least, offset
        self.least = min(self.least, offset)
        known = self.least if self.earlier_least is None else min(self.least, self.earlier_least)
        return offset - known
