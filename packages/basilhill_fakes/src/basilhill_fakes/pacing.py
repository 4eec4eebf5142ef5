"""Actions at a fixed rate, and calls over one or more ways with their durations."""

import asyncio
import statistics
from collections.abc import Awaitable, Callable

from attrs import define, field

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import Event, now_ms


async def send_at_rate(
    perform: Callable[[], Awaitable[Event]], rate_per_s: float, duration_s: float
) -> list[Event]:
    """Perform actions at a fixed rate, whatever becomes of the earlier ones."""
    tasks = []
    start_ms = now_ms()
    for number in range(int(rate_per_s * duration_s)):
        await asyncio.sleep(max(0.0, start_ms + number * 1000 / rate_per_s - now_ms()) / 1000)
        tasks.append(asyncio.ensure_future(perform()))
    return list(await asyncio.gather(*tasks))


@define
class PathSamples:
    """Hold the durations of the answered calls of one way, in milliseconds."""

    url: str
    durations_ms: list[float] = field(factory=list)
    failed: int = 0

    def quantile_ms(self, percent: int) -> float:
        """Return a percentile of the durations."""
        return statistics.quantiles(self.durations_ms, n=100)[percent - 1]


async def pace(
    caller: Caller, ways: list[PathSamples], rate_per_s: float, duration_s: float
) -> float:
    """Call each way at a rate, the ways in turn; return the p99 lag of the calls in ms."""
    gap_ms = 1000 / rate_per_s / len(ways)
    count = int(rate_per_s * duration_s) * len(ways)
    start_ms = now_ms()
    lags_ms, calls = [], set()
    for number in range(count):
        due_ms = start_ms + number * gap_ms
        await asyncio.sleep(max(0.0, due_ms - now_ms()) / 1000)
        lags_ms.append(now_ms() - due_ms)
        task = asyncio.create_task(sample(caller, ways[number % len(ways)]))
        calls.add(task)
        task.add_done_callback(calls.discard)
    if calls:
        await asyncio.wait(calls, timeout=5)
    return statistics.quantiles(lags_ms, n=100)[98] if len(lags_ms) > 1 else 0.0


async def sample(caller: Caller, way: PathSamples) -> None:
    """Make one call and keep its duration."""
    started_ms = now_ms()
    status, _, _ = await caller.exchange("GET", way.url, {})
    if status == 200:
        way.durations_ms.append(now_ms() - started_ms)
    else:
        way.failed += 1
