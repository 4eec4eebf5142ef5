"""A process of callers whose actions arrive at planned times, however slow the answers are."""

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

DRAIN_S = 3.5


@frozen
class LoadOptions:
    """Hold what one caller process needs to know."""

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
    """Count the arrivals of one process and how late they were sent."""

    lags_ms: list[float] = field(factory=list)
    dropped: int = 0
    actions: set[asyncio.Task] = field(factory=set)


def planned_arrivals(plan: LoadPlan, number: int, random: Random) -> Iterator[tuple[float, str]]:
    """Yield the arrivals of one process in order of time: seconds from the start and kind.

    Arrivals are evenly spaced and each is moved within its space at random, so that goodput in
    a short window varies with the system and not with the arrivals.
    """
    passed = 0.0
    for phase in plan.phases:
        times = []
        rates = (("transact", phase.transactions_per_s), ("browse", phase.browses_per_s))
        for kind, rate in rates:
            count = int(rate * phase.duration_s / plan.processes)
            space = phase.duration_s / count if count else 0.0
            shift = number / plan.processes
            times += [((i + (shift + random.random()) % 1) * space, kind) for i in range(count)]
        yield from ((passed + time_s, kind) for time_s, kind in sorted(times))
        passed += phase.duration_s


async def send_all(options: LoadOptions, caller: Caller) -> Arrivals:
    """Start every action at its time; drop those beyond the limit of outstanding actions."""
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
        await asyncio.wait(arrivals.actions, timeout=DRAIN_S)
    return arrivals


def write_summary(options: LoadOptions, arrivals: Arrivals) -> None:
    """Write how well this process kept to its plan."""
    cuts = statistics.quantiles(arrivals.lags_ms, n=100)
    summary = LoadSummary(len(arrivals.lags_ms), arrivals.dropped, cuts[98], max(arrivals.lags_ms))
    Path(options.summary).write_bytes(orjson.dumps(CONVERTER.unstructure(summary)))


async def run(options: LoadOptions) -> None:
    """Send the load of one process and write its summary."""
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
    # Ends at once: actions that still wait have had the time that callers give them.
    os._exit(0)


if __name__ == "__main__":
    uvloop.run(run(CONVERTER.structure(orjson.loads(sys.argv[1]), LoadOptions)))
