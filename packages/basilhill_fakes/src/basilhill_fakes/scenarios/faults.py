"""What the scenarios share that bring faults about under a steady load."""

import asyncio

from basilhill_fakes.history import now_ms
from basilhill_fakes.load_plans import LoadPhase, LoadPlan
from basilhill_fakes.measurements import (
    Faults,
    LoadedRun,
    Measurement,
    common_fields,
    run_load,
)
from basilhill_fakes.queries.fleets import cut_off, failed_after_start
from basilhill_fakes.queries.goodput import (
    completions_ms,
    mixed_rate_per_s,
    rate_per_s,
)

# Low enough that the remaining servers of any service can carry it.
LOAD_SHARE = 0.4
BEFORE_S = 6.0
DURING_S = 14.0
AFTER_S = 8.0
SETTLED_S = 2.0


def fault_plan(measurement: Measurement) -> LoadPlan:
    """Return a steady load in three phases."""
    rate = LOAD_SHARE * mixed_rate_per_s(measurement.workload)
    lengths = (("before", BEFORE_S), ("during", DURING_S), ("after", AFTER_S))
    return LoadPlan(tuple(LoadPhase(name, length, rate, rate) for name, length in lengths))


async def run_faults(measurement: Measurement, faults: Faults) -> tuple[LoadedRun, dict]:
    """Run the load while faults happen; return the run and the fields of every fault scenario."""
    run = await run_load(measurement, fault_plan(measurement), faults)
    return run, {**fault_fields(run), **common_fields(measurement, run)}


def fault_fields(run: LoadedRun) -> dict:
    """Return the goodput before, during and after the faults, and what was cut off."""
    times_ms = completions_ms(run.events)
    spans = {phase: run.span_ms(phase) for phase in ("before", "during", "after")}
    before_ms, _ = spans["before"]
    spans["before"] = (before_ms + SETTLED_S * 1000, spans["before"][1])
    goodput = {f"goodput_{p}_per_s": round(rate_per_s(times_ms, *s), 1) for p, s in spans.items()}
    return {
        **goodput,
        "cut_off": cut_off(run.events, *run.span_ms("during")),
        "failed_after_start": failed_after_start(run.events, *run.span_ms("during")),
        "trigger_start_s": BEFORE_S,
        "trigger_end_s": BEFORE_S + DURING_S,
    }


async def until(start_ms: float, second: float) -> None:
    """Wait until a time after the start of the load, in seconds."""
    await asyncio.sleep(max(0.0, start_ms + second * 1000 - now_ms()) / 1000)
