"""Servers leave, each in another way, while calls go on."""

import signal

from attrs import frozen

from basilhill_fakes.history import EventKind
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.queries.fleets import late_work_ms
from basilhill_fakes.scenarios.faults import BEFORE_S, run_faults, until
from basilhill_fakes.topology import Vm

WAYS = ("backend-drain", "fleet-list", "sigterm")
GAP_S = 3.0


@frozen
class Drain:
    """Let one server leave by its backend server, one by the fleet list and one by SIGTERM."""

    name: str = "drain"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the fields to report."""
        run, fields = await run_faults(measurement, drain_servers)
        late = late_work_ms(run.events)
        return {"new_work_after_leave_ms": round(max(late.values(), default=0.0)), **fields}


def leaving_servers(measurement: Measurement) -> list[Vm]:
    """Return one server of each of some services, drawn at random."""
    services = list(measurement.workload.services)
    chosen = measurement.random.sample(services, len(WAYS))
    return [measurement.random.choice(measurement.fleet.topology.servers_of(s)) for s in chosen]


async def drain_servers(measurement: Measurement, start_ms: float) -> None:
    """Let the servers leave one after the other."""
    ways = measurement.random.sample(WAYS, len(WAYS))
    for number, vm in enumerate(leaving_servers(measurement)):
        await until(start_ms, BEFORE_S + number * GAP_S)
        measurement.say(f"{vm.service} at {vm.address} leaves: {ways[number]}")
        measurement.note(EventKind.LEAVING, vm.address, ways[number])
        await leave(measurement, vm, ways[number])


async def leave(measurement: Measurement, vm: Vm, way: str) -> None:
    """Let one server leave."""
    fleet = measurement.fleet
    if way == "backend-drain":
        await fleet.put(f"{vm.backend_url}/test/faults", {"draining": True})
    elif way == "fleet-list":
        await fleet.publish_fleet(frozenset({vm.address}))
    else:
        fleet.signal(f"node-{vm.address}", signal.SIGTERM)
