"""Caller process whose actions arrive at planned times, regardless of response times."""

import asyncio
import os
import statistics
import sys
from collections.abc import Iterator
from pathlib import Path
from random import Random

import orjson
import uvloop
from attrs import define, field, frozen

from basilhill_fakes.caller import CLIENT_DISTANCE_MS, Caller
from basilhill_fakes.history import HistoryWriter, now_ms
from basilhill_fakes.load_plans import CONVERTER, LoadPlan, LoadSummary
from basilhill_fakes.topology import Topology
from basilhill_fakes.workloads import WORKLOADS

DRAIN_TIMEOUT_S = 3.5


@frozen
class LoadOptions:
    """Options of one caller process, passed as JSON on its command line."""

    workload: str
    topology: Topology
    history: str
    summary: str
    plan: LoadPlan
    seed: int
    number: int
    start_ms: float
    direct: bool


@define
class Arrivals:
    """Arrivals of one process: delays in ms, dropped actions and actions in flight."""

    lags_ms: list[float] = field(factory=list)
    dropped: int = 0
    actions: set[asyncio.Task] = field(factory=set)


def planned_arrivals(plan: LoadPlan, number: int, random: Random) -> Iterator[tuple[float, str]]:
    """Yield the arrivals of one process in order of time: seconds from the start and kind.

    Arrivals are evenly spaced with a random offset within each interval, so that goodput in a
    short window varies because of the system and not because of the arrivals.
    """
    elapsed_s = 0.0
    for phase in plan.phases:
        times = []
        rates = (("transact", phase.transactions_per_s), ("browse", phase.browses_per_s))
        for kind, rate in rates:
            count = int(rate * phase.duration_s / plan.processes)
            interval_s = phase.duration_s / count if count else 0.0
            phase_offset = number / plan.processes
            times += [
                ((i + (phase_offset + random.random()) % 1) * interval_s, kind)
                for i in range(count)
            ]
        yield from ((elapsed_s + time_s, kind) for time_s, kind in sorted(times))
        elapsed_s += phase.duration_s


async def send_all(options: LoadOptions, caller: Caller) -> Arrivals:
    """Start each action at its planned time; drop it if too many actions are in flight."""
    arrivals = Arrivals()
    loop = asyncio.get_running_loop()
    random = Random(options.seed * 1_000 + options.number)
    for time_s, kind in planned_arrivals(options.plan, options.number, random):
        due_ms = options.start_ms + time_s * 1000
        wait_ms = due_ms - now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000)
        arrivals.lags_ms.append(now_ms() - due_ms)
        if len(arrivals.actions) >= options.plan.outstanding_limit:
            arrivals.dropped += 1
            continue
        task = loop.create_task(getattr(caller, kind)())
        arrivals.actions.add(task)
        task.add_done_callback(arrivals.actions.discard)
    if arrivals.actions:
        await asyncio.wait(arrivals.actions, timeout=DRAIN_TIMEOUT_S)
    return arrivals


def write_summary(options: LoadOptions, arrivals: Arrivals) -> None:
    """Write the arrival counts and delays of this process."""
    percentiles = statistics.quantiles(arrivals.lags_ms, n=100)
    summary = LoadSummary(
        len(arrivals.lags_ms), arrivals.dropped, percentiles[98], max(arrivals.lags_ms)
    )
    Path(options.summary).write_bytes(orjson.dumps(CONVERTER.unstructure(summary)))


async def run(options: LoadOptions) -> None:
    """Send the planned load and write the summary, then exit the process."""
    plan = options.plan
    caller = Caller(
        WORKLOADS[options.workload],
        options.topology,
        HistoryWriter(Path(options.history)),
        options.direct,
        CLIENT_DISTANCE_MS,
        plan.tries,
        plan.timeout_ms,
        plan.backoff_ms,
        plan.patience_ms,
        f"caller-{options.number}",
        Random(options.seed * 1_000 + options.number),
    )
    arrivals = await send_all(options, caller)
    write_summary(options, arrivals)
    # Skips cleanup: actions still in flight have exceeded the client timeout.
    os._exit(0)


if __name__ == "__main__":
    uvloop.run(run(CONVERTER.structure(orjson.loads(sys.argv[1]), LoadOptions)))
