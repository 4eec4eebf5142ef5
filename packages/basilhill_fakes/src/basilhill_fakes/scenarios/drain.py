"""Scenario: servers drain under load, each by a different method."""

import signal

from attrs import frozen

from basilhill_fakes.history import EventKind
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.queries.fleets import late_work_ms
from basilhill_fakes.scenarios.faults import BEFORE_S, run_faults, sleep_until
from basilhill_fakes.topology import Vm

DRAIN_METHODS = ("backend-drain", "fleet-list", "sigterm")
GAP_S = 3.0


@frozen
class Drain:
    """Drain of three servers: by the backend server, by the fleet list and by SIGTERM."""

    name: str = "drain"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        run, fields = await run_faults(measurement, drain_servers)
        late = late_work_ms(run.events)
        return {"new_work_after_leave_ms": round(max(late.values(), default=0.0)), **fields}


def choose_servers(measurement: Measurement) -> list[Vm]:
    """Return a random server of each of some random services, one for each drain method."""
    services = list(measurement.workload.services)
    chosen = measurement.random.sample(services, len(DRAIN_METHODS))
    return [measurement.random.choice(measurement.fleet.topology.servers_of(s)) for s in chosen]


async def drain_servers(measurement: Measurement, start_ms: float) -> None:
    """Drain the servers one after the other."""
    methods = measurement.random.sample(DRAIN_METHODS, len(DRAIN_METHODS))
    for number, vm in enumerate(choose_servers(measurement)):
        await sleep_until(start_ms, BEFORE_S + number * GAP_S)
        measurement.log_progress(f"{vm.service} at {vm.address} drains by {methods[number]}")
        measurement.record_event(EventKind.LEAVING, vm.address, methods[number])
        await drain_server(measurement, vm, methods[number])


async def drain_server(measurement: Measurement, vm: Vm, drain_method: str) -> None:
    fleet = measurement.fleet
    if drain_method == "backend-drain":
        await fleet.put(f"{vm.backend_url}/test/faults", {"draining": True})
    elif drain_method == "fleet-list":
        await fleet.publish_fleet(frozenset({vm.address}))
    else:
        fleet.signal(f"node-{vm.address}", signal.SIGTERM)
