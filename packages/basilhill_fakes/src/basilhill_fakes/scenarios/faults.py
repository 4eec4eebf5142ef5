"""Load, result fields and timing shared by scenarios that inject faults."""

import asyncio

from basilhill_fakes.history import now_ms
from basilhill_fakes.load_plans import LoadPhase, LoadPlan
from basilhill_fakes.measurements import (
    FaultInjector,
    LoadedRun,
    Measurement,
    common_fields,
    run_load,
)
from basilhill_fakes.queries.fleets import count_failed_after_start, count_without_response
from basilhill_fakes.queries.goodput import (
    completions_ms,
    mixed_rate_per_s,
    rate_per_s,
)

# Low enough that the remaining servers of any service can handle the load.
LOAD_SHARE = 0.4
BEFORE_S = 6.0
DURING_S = 14.0
AFTER_S = 8.0
WARM_UP_S = 2.0


def fault_plan(measurement: Measurement) -> LoadPlan:
    """Return a constant load in three phases: before, during and after the faults."""
    rate = LOAD_SHARE * mixed_rate_per_s(measurement.workload)
    lengths = (("before", BEFORE_S), ("during", DURING_S), ("after", AFTER_S))
    return LoadPlan(tuple(LoadPhase(name, length, rate, rate) for name, length in lengths))


async def run_faults(measurement: Measurement, faults: FaultInjector) -> tuple[LoadedRun, dict]:
    """Run the load while faults are injected; return the run and the common result fields."""
    run = await run_load(measurement, fault_plan(measurement), faults)
    return run, {**fault_fields(run), **common_fields(measurement, run)}


def fault_fields(run: LoadedRun) -> dict:
    """Return goodput before, during and after the faults, and the numbers of lost requests.

    Lost requests started to run during the faults and got no response or a failure response.
    """
    times_ms = completions_ms(run.events)
    spans = {phase: run.span_ms(phase) for phase in ("before", "during", "after")}
    before_ms, _ = spans["before"]
    spans["before"] = (before_ms + WARM_UP_S * 1000, spans["before"][1])
    goodput = {f"goodput_{p}_per_s": round(rate_per_s(times_ms, *s), 1) for p, s in spans.items()}
    return {
        **goodput,
        "cut_off": count_without_response(run.events, *run.span_ms("during")),
        "failed_after_start": count_failed_after_start(run.events, *run.span_ms("during")),
        "trigger_start_s": BEFORE_S,
        "trigger_end_s": BEFORE_S + DURING_S,
    }


async def sleep_until(start_ms: float, second: float) -> None:
    """Sleep until a time in seconds after the start of the load."""
    await asyncio.sleep(max(0.0, start_ms + second * 1000 - now_ms()) / 1000)
