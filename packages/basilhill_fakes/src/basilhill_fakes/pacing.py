"""Actions at a fixed rate, and calls over one or more paths with their durations."""

import asyncio
import statistics
from collections.abc import Awaitable, Callable

from attrs import define, field

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import Event, now_ms


async def send_at_rate(
    perform: Callable[[], Awaitable[Event]], rate_per_s: float, duration_s: float
) -> list[Event]:
    """Perform actions at a fixed rate, independent of the earlier ones."""
    tasks = []
    start_ms = now_ms()
    for number in range(int(rate_per_s * duration_s)):
        await asyncio.sleep(max(0.0, start_ms + number * 1000 / rate_per_s - now_ms()) / 1000)
        tasks.append(asyncio.ensure_future(perform()))
    return list(await asyncio.gather(*tasks))


@define
class PathSamples:
    """Durations of the successful calls over one path, in milliseconds."""

    url: str
    durations_ms: list[float] = field(factory=list)
    failed: int = 0

    def quantile_ms(self, percent: int) -> float:
        """Return a percentile of the durations; needs at least two durations."""
        return statistics.quantiles(self.durations_ms, n=100)[percent - 1]


async def send_paced_calls(
    caller: Caller, call_paths: list[PathSamples], rate_per_s: float, duration_s: float
) -> float:
    """Call each path at a rate, alternating between paths; return the p99 send delay in ms."""
    gap_ms = 1000 / rate_per_s / len(call_paths)
    count = int(rate_per_s * duration_s) * len(call_paths)
    start_ms = now_ms()
    lags_ms, calls = [], set()
    for number in range(count):
        due_ms = start_ms + number * gap_ms
        await asyncio.sleep(max(0.0, due_ms - now_ms()) / 1000)
        lags_ms.append(now_ms() - due_ms)
        task = asyncio.create_task(sample(caller, call_paths[number % len(call_paths)]))
        calls.add(task)
        task.add_done_callback(calls.discard)
    if calls:
        await asyncio.wait(calls, timeout=5)
    return statistics.quantiles(lags_ms, n=100)[98] if len(lags_ms) > 1 else 0.0


async def sample(caller: Caller, call_path: PathSamples) -> None:
    """Make one call and store its duration, or count it as failed."""
    started_ms = now_ms()
    status, _, _ = await caller.exchange("GET", call_path.url, {})
    if status == 200:
        call_path.durations_ms.append(now_ms() - started_ms)
    else:
        call_path.failed += 1
