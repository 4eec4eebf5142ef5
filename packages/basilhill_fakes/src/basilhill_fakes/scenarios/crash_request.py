"""Scenario: a request crashes every backend server that runs it, and its caller retries it."""

import asyncio

from attrs import frozen

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import HistoryWriter, now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.queries.fleets import find_crashes
from basilhill_fakes.scenarios.faults import BEFORE_S, DURING_S, run_faults, sleep_until
from basilhill_fakes.topology import Vm

CRASH_ORDER = "crash-order"
REPEAT_INTERVAL_S = 0.3
RESTART_DELAY_S = 1.0
POLL_INTERVAL_S = 0.1


@frozen
class CrashRequest:
    """Repeated request that crashes the backend servers of one service."""

    name: str = "crash_request"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        run, fields = await run_faults(measurement, crash_servers)
        crashes = find_crashes(run.events, CRASH_ORDER)
        return {"servers_crashed_max": len(set(crashes)), "crashes": len(crashes), **fields}


async def crash_servers(measurement: Measurement, start_ms: float) -> None:
    """Send the request until the fault phase ends, and restart the servers that it crashes."""
    workload, fleet = measurement.workload, measurement.fleet
    full_name = measurement.random.choice((workload.transaction, workload.browse))
    target = measurement.random.choice((full_name.split(".")[0], workload.bottleneck))
    servers = fleet.topology.servers_of(target)
    await sleep_until(start_ms, BEFORE_S)
    measurement.log_progress(f"sending {full_name}, which crashes servers of {target}")
    await asyncio.gather(*(enable_crash(measurement, vm) for vm in servers))
    supervisors = [asyncio.create_task(supervise(measurement, vm)) for vm in servers]
    try:
        await repeat_request(measurement, full_name, start_ms + (BEFORE_S + DURING_S) * 1000)
    finally:
        for supervisor in supervisors:
            supervisor.cancel()


async def enable_crash(measurement: Measurement, vm: Vm) -> None:
    """Configure a backend server to crash when it runs the request."""
    fault = {"crash_order": CRASH_ORDER}
    await measurement.fleet.put(f"{vm.backend_url}/test/faults", fault)


async def supervise(measurement: Measurement, vm: Vm) -> None:
    """Restart a backend server whenever it has terminated, until cancelled."""
    fleet = measurement.fleet
    while True:
        if fleet.processes[f"backend-{vm.address}"].returncode is not None:
            measurement.log_progress(
                f"{vm.service} server at {vm.address} crashed; restart in {RESTART_DELAY_S:.0f} s"
            )
            await asyncio.sleep(RESTART_DELAY_S)
            await fleet.start_backend(vm)
            await enable_crash(measurement, vm)
        await asyncio.sleep(POLL_INTERVAL_S)


async def repeat_request(measurement: Measurement, full_name: str, end_ms: float) -> None:
    """Repeat the action under the same order, each time with a new round."""
    fleet = measurement.fleet
    history = HistoryWriter(fleet.history / "crash-caller.jsonl")
    caller = Caller(measurement.workload, fleet.topology, history, place="crash-caller")
    caller.random.seed(measurement.seed)
    try:
        round_ = 0
        while now_ms() < end_ms:
            event = await caller.perform(full_name, CRASH_ORDER, round_)
            round_ = event.round + 1
            await asyncio.sleep(REPEAT_INTERVAL_S)
    finally:
        await caller.session.close()
