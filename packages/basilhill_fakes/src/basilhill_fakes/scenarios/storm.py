"""Scenario: load surges while the bottleneck is slow, then both return to normal."""

import asyncio

from attrs import frozen

from basilhill_fakes.history import now_ms
from basilhill_fakes.load_plans import LoadPhase, LoadPlan
from basilhill_fakes.measurements import LoadedRun, Measurement, common_fields, run_load
from basilhill_fakes.queries.goodput import (
    WINDOW_MS,
    bottleneck_rate_per_s,
    completions_ms,
    mixed_rate_per_s,
    rate_per_s,
    recovery_ms,
    wasted_ratio,
)

BASE_SHARE = 0.7
SURGE_FACTOR = 3.0
SLOW_FACTOR = 3.0
BEFORE_S = 8.0
STORM_S = 15.0
AFTER_S = 15.0
# Start of the load that does not count towards goodput before the surge, because the first actions
# open connections and fill the callers' token caches.
WARM_UP_S = 3.0


@frozen
class Storm:
    """Load of 3 times the bottleneck's capacity while its calls take 3 times as long."""

    name: str = "storm"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        run = await run_load(measurement, storm_plan(measurement), slow_bottleneck)
        return {**storm_fields(measurement, run), **common_fields(measurement, run)}


def storm_plan(measurement: Measurement) -> LoadPlan:
    """Return the load: base, surge, and base again."""
    full = mixed_rate_per_s(measurement.workload)
    phases = (
        LoadPhase("before", BEFORE_S, BASE_SHARE * full, BASE_SHARE * full),
        LoadPhase("storm", STORM_S, SURGE_FACTOR * full, SURGE_FACTOR * full),
        LoadPhase("after", AFTER_S, BASE_SHARE * full, BASE_SHARE * full),
    )
    return LoadPlan(phases)


async def slow_bottleneck(measurement: Measurement, start_ms: float) -> None:
    """Slow down the bottleneck during the surge."""
    for factor, at_s in ((SLOW_FACTOR, BEFORE_S), (1.0, BEFORE_S + STORM_S)):
        await asyncio.sleep(max(0.0, start_ms + at_s * 1000 - now_ms()) / 1000)
        await set_slow_factor(measurement, factor)


async def set_slow_factor(measurement: Measurement, factor: float) -> None:
    """Set the slow factor of every server of the bottleneck."""
    fleet = measurement.fleet
    servers = fleet.topology.servers_of(measurement.workload.bottleneck)
    fault = {"slow_factor": factor}
    await asyncio.gather(*(fleet.put(f"{vm.backend_url}/test/faults", fault) for vm in servers))


def storm_fields(measurement: Measurement, run: LoadedRun) -> dict:
    """Return goodput, recovery time and the share of wasted server time."""
    workload = measurement.workload
    transactions = completions_ms(run.events, workload.transaction)
    browses = completions_ms(run.events, workload.browse)
    completed_ms = completions_ms(run.events)
    before_ms, trigger_ms = run.span_ms("before")
    storm_ms = run.span_ms("storm")
    after_ms = run.span_ms("after")
    capacity_per_s = bottleneck_rate_per_s(workload, SLOW_FACTOR)
    storm_per_s = rate_per_s(transactions, *storm_ms)
    warm_ms = before_ms + WARM_UP_S * 1000
    before_per_s = rate_per_s(completed_ms, warm_ms, trigger_ms)
    recovered_ms = recovery_ms(completed_ms, before_per_s, *after_ms)
    return {
        "goodput_ratio": round(storm_per_s / capacity_per_s, 3),
        "recovery_ms": None if recovered_ms is None else round(recovered_ms),
        "recovery_window_ms": WINDOW_MS,
        "wasted_ratio": round(wasted_ratio(run.events, *storm_ms), 3),
        "storm_transactions_per_s": round(storm_per_s, 1),
        "storm_browses_per_s": round(rate_per_s(browses, *storm_ms), 1),
        "storm_best_transactions_per_s": round(capacity_per_s, 1),
        "goodput_before_per_s": round(before_per_s, 1),
        "goodput_after_per_s": round(rate_per_s(completed_ms, *after_ms), 1),
        "trigger_start_s": BEFORE_S,
        "trigger_end_s": BEFORE_S + STORM_S,
    }
