"""Fleet, load and checks that all measured scenarios share."""

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import orjson
from attrs import define, field, frozen
from rich.console import Console
from rich.progress import Progress

from basilhill_fakes.history import Event, EventKind, HistoryWriter, now_ms, read_history
from basilhill_fakes.load_caller import LoadOptions
from basilhill_fakes.load_plans import CONVERTER, LoadPlan, LoadSummary
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.queries.evaluation import evaluate_history
from basilhill_fakes.queries.goodput import goodput_series
from basilhill_fakes.workloads import Workload

# Caller processes take about a second to start.
LOAD_LEAD_MS = 2_500
# In limit mode, the queue limit of a server equals its number of slots.
LIMIT_QUEUE_SLOTS = 1.0
MODES = ("basilhill", "direct", "limit")

FaultInjector = Callable[["Measurement", float], Awaitable[None]]


@define(eq=False)
class Measurement:
    """Run of a scenario with its fleet, random source and the history of its own events."""

    workload: Workload
    mode: str
    seed: int
    root: Path
    directory: Path
    console: Console
    fleet: Fleet
    random: Random
    notes: HistoryWriter
    document: str

    def record_event(self, kind: EventKind, place: str, text: str = "") -> None:
        """Record an event of the scenario itself."""
        self.notes.write(Event(now_ms(), kind, place, note=text))

    def log_progress(self, text: str) -> None:
        """Print a progress message."""
        self.console.print(f"[{time.strftime('%H:%M:%S')}] {text}", markup=False)


@frozen
class LoadedRun:
    """Events, caller summaries and CPU usage of a run under load."""

    events: list[Event] = field(repr=False)
    start_ms: float
    plan: LoadPlan
    summaries: tuple[LoadSummary, ...]
    cores: dict[str, dict[str, float]]

    def span_ms(self, phase: str) -> tuple[float, float]:
        """Return the start and the end of a phase on the machine's monotonic clock."""
        start_ms = self.start_ms + self.plan.starts_s()[phase] * 1000
        duration_s = next(p.duration_s for p in self.plan.phases if p.name == phase)
        return start_ms, start_ms + duration_s * 1000


def new_measurement(
    workload: Workload, mode: str, seed: int, root: Path, directory: Path, console: Console
) -> Measurement:
    """Return a measurement whose fleet has not been started."""
    queue_limit = None
    if mode == "limit":
        queue_limit = int(
            LIMIT_QUEUE_SLOTS * min(service.slots for service in workload.services.values())
        )
    fleet = new_fleet(
        workload,
        directory,
        direct=mode != "basilhill",
        queue_limit=queue_limit,
        simulate_distance=True,
    )
    return Measurement(
        workload,
        mode,
        seed,
        root,
        directory,
        console,
        fleet,
        Random(seed),
        HistoryWriter(fleet.history / "scenario.jsonl"),
        (root / workload.document).read_text(),
    )


async def run_load(
    measurement: Measurement, plan: LoadPlan, faults: FaultInjector | None = None
) -> LoadedRun:
    """Start the fleet, send a planned load while faults are injected, and stop the fleet."""
    fleet = measurement.fleet
    try:
        measurement.log_progress(f"starting {len(fleet.topology.vms)} VMs, mode {measurement.mode}")
        await fleet.start(measurement.document)
        start_ms = now_ms() + LOAD_LEAD_MS
        for number in range(plan.processes):
            await start_callers(measurement, plan, number, start_ms)
        cores: dict[str, dict[str, float]] = {}
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(show_progress(measurement, plan, start_ms, cores))
            if faults is not None:
                tasks.create_task(faults(measurement, start_ms))
        summaries = [
            await wait_for_callers(measurement, number) for number in range(plan.processes)
        ]
    finally:
        await fleet.stop()
    measurement.log_progress("checking the history")
    return LoadedRun(read_history(fleet.history), start_ms, plan, tuple(summaries), cores)


async def start_callers(
    measurement: Measurement, plan: LoadPlan, number: int, start_ms: float
) -> None:
    fleet = measurement.fleet
    options = LoadOptions(
        measurement.workload.name,
        fleet.topology,
        str(fleet.history / f"caller-{number}.jsonl"),
        str(fleet.directory / f"caller-{number}.json"),
        plan,
        measurement.seed,
        number,
        start_ms,
        fleet.direct,
    )
    await fleet.start_program(f"caller-{number}", "load_caller", CONVERTER.unstructure(options))


async def wait_for_callers(measurement: Measurement, number: int) -> LoadSummary:
    """Wait until a caller process has terminated; return its summary."""
    await measurement.fleet.wait_ended(f"caller-{number}")
    summary = measurement.fleet.directory / f"caller-{number}.json"
    return CONVERTER.structure(orjson.loads(summary.read_bytes()), LoadSummary)


async def show_progress(
    measurement: Measurement, plan: LoadPlan, start_ms: float, cores: dict[str, dict[str, float]]
) -> None:
    """Print the progress of each phase and store the CPU cores used in it."""
    await asyncio.sleep(max(0.0, start_ms - now_ms()) / 1000)
    with Progress(console=measurement.console) as progress:
        for phase in plan.phases:
            rates = f"{phase.transactions_per_s:.0f}+{phase.browses_per_s:.0f}/s"
            measurement.log_progress(f"{phase.name}: transactions + browses {rates}")
            task = progress.add_task(phase.name, total=phase.duration_s)
            before = measurement.fleet.cpu_s()
            end_ms = now_ms() + phase.duration_s * 1000
            while (left_ms := end_ms - now_ms()) > 0:
                await asyncio.sleep(min(left_ms, 500) / 1000)
                progress.update(task, completed=phase.duration_s - left_ms / 1000)
            progress.update(task, completed=phase.duration_s)
            after = measurement.fleet.cpu_s()
            cores[phase.name] = cores_by_kind(before, after, phase.duration_s)


def cores_by_kind(
    before: dict[str, float], after: dict[str, float], duration_s: float
) -> dict[str, float]:
    """Return the CPU cores used by each kind of process and by the busiest process of the kind."""
    used = {name: (after[name] - before.get(name, 0.0)) / duration_s for name in after}
    kinds: dict[str, float] = {}
    for name, share in used.items():
        kind = name.split("-")[0]
        kinds[kind] = kinds.get(kind, 0.0) + share
        kinds[f"{kind}_max"] = max(kinds.get(f"{kind}_max", 0.0), share)
    return {kind: round(share, 2) for kind, share in kinds.items()}


def common_fields(measurement: Measurement, run: LoadedRun) -> dict:
    """Return the result fields that all scenarios under load report."""
    results = evaluate_history(run.events, measurement.workload, measurement.document)
    for violation in results.violations()[:20]:
        measurement.log_progress(f"invariant violated: {violation.check}: {violation.text}")
    return {
        **results.fields(),
        "mix": "one browse for each transaction",
        "arrivals": sum(summary.arrivals for summary in run.summaries),
        "arrivals_dropped": sum(summary.dropped for summary in run.summaries),
        "generator_lag_p99_ms": round(max(s.lag_p99_ms for s in run.summaries), 1),
        "generator_lag_max_ms": round(max(s.lag_max_ms for s in run.summaries), 1),
        "cores": run.cores,
        "load_average": [round(load, 1) for load in os.getloadavg()],
        "series": goodput_series(run.events, run.start_ms, run.plan.duration_s),
    }
