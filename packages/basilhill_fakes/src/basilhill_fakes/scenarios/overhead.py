"""What a node adds to a call, what it uses, and how much it carries."""

import asyncio
import statistics

from attrs import frozen

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import HistoryWriter, now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.pacing import PathSamples, pace
from basilhill_fakes.queries.processes import cpu_s, resident_mb, transferred_bytes
from basilhill_fakes.workloads import find_fake_call

WARM_UP_ROUNDS = 10
IDLE_S = 5.0
SETTLE_S = 1.5
RATE_PER_S = 70
PACED_S = 14.0
TWO_NODES_S = 6.0
RISING_RATES = (100, 200, 300, 400, 500, 600, 800, 1_000, 1_200, 1_400)
STEP_S = 2.0
# A rate is held when nearly all calls are answered, and soon after the planned time.
HELD_SHARE = 0.99
HELD_P99_MS = 50.0


@frozen
class NodeUse:
    """Hold what a process has used up to a time."""

    time_ms: float
    cpu_s: float
    transferred_bytes: int

    def per_second(self, earlier: "NodeUse") -> tuple[float, float]:
        """Return the share of a core and the bytes per second since an earlier time."""
        duration_s = (self.time_ms - earlier.time_ms) / 1000
        used_bytes = self.transferred_bytes - earlier.transferred_bytes
        return (self.cpu_s - earlier.cpu_s) / duration_s, used_bytes / duration_s


@frozen
class Overhead:
    """Make the probe directly and through nodes, in turn, then through a node ever faster."""

    name: str = "overhead"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the fields to report."""
        fleet = measurement.fleet
        fleet.distances = False
        history = HistoryWriter(fleet.history / "caller.jsonl")
        caller = Caller(measurement.workload, fleet.topology, history)
        caller.random.seed(measurement.seed)
        try:
            measurement.say(f"starting {len(fleet.topology.vms)} VMs without added distance")
            await fleet.start(measurement.document)
            await open_streams(caller)
            idle = await idle_fields(measurement)
            paced = await paced_fields(measurement, caller)
            fastest = await fastest_fields(measurement, caller)
        finally:
            await caller.session.close()
            await fleet.stop()
        return {**idle, **paced, **fastest}


async def open_streams(caller: Caller) -> None:
    """Perform some actions, because streams between nodes open with the first calls."""
    for _ in range(WARM_UP_ROUNDS):
        actions = [caller.transact() for _ in range(10)] + [caller.browse() for _ in range(10)]
        await asyncio.gather(*actions)


def node_pid(measurement: Measurement, address: str) -> int:
    """Return the process id of the node of a VM."""
    return measurement.fleet.processes[f"node-{address}"].pid


def node_use(measurement: Measurement, address: str) -> NodeUse:
    """Return what a node has used up to now."""
    pid = node_pid(measurement, address)
    return NodeUse(now_ms(), cpu_s(pid), transferred_bytes(pid))


async def idle_fields(measurement: Measurement) -> dict:
    """Return what the nodes use for control while no calls arrive."""
    measurement.say(f"idle for {IDLE_S:.0f} s")
    addresses = [vm.address for vm in measurement.fleet.topology.vms]
    earlier = [node_use(measurement, address) for address in addresses]
    await asyncio.sleep(IDLE_S)
    used = [
        node_use(measurement, address).per_second(before)
        for address, before in zip(addresses, earlier, strict=True)
    ]
    return {
        "control_cpu_share": round(statistics.mean(share for share, _ in used), 4),
        "control_bytes_s": round(statistics.mean(rate for _, rate in used)),
        "control_bytes_method": "rchar + wchar of /proc/PID/io of idle nodes, mean, with logs",
        "control_nodes": len(addresses),
    }


async def paced_fields(measurement: Measurement, caller: Caller) -> dict:
    """Return the time that nodes add to calls at the usual rate."""
    workload, topology = measurement.workload, measurement.fleet.topology
    service = workload.probe.split(".")[0]
    path = find_fake_call(workload, workload.probe).path
    vm = topology.servers_of(service)[0]
    other = next(v for v in topology.vms if v.service != service)
    ways = {
        "direct": PathSamples(f"{vm.backend_url}{path}"),
        "node": PathSamples(f"{vm.front_url}/{service}{path}"),
        "two_nodes": PathSamples(f"{other.front_url}/{service}{path}"),
    }
    await pace(caller, list(ways.values()), RATE_PER_S, SETTLE_S)
    for way in ways.values():
        way.durations_ms.clear()
    measurement.say(f"{workload.probe}: directly and through a node in turn")
    earlier = node_use(measurement, vm.address)
    await pace(caller, [ways["direct"], ways["node"]], RATE_PER_S, PACED_S)
    share, _ = node_use(measurement, vm.address).per_second(earlier)
    rss_mb = resident_mb(node_pid(measurement, vm.address))
    measurement.say(f"{workload.probe}: through a node of {other.service}")
    await pace(caller, [ways["two_nodes"]], RATE_PER_S, TWO_NODES_S)
    return {
        **added_fields(ways),
        "calls_per_s": RATE_PER_S,
        "node_cpu_share": round(share, 3),
        "node_rss_mb": round(rss_mb, 1),
    }


def added_fields(ways: dict[str, PathSamples]) -> dict:
    """Return the added time of the ways through nodes."""
    direct, node, two = ways["direct"], ways["node"], ways["two_nodes"]
    return {
        "direct_p50_ms": round(direct.quantile_ms(50), 2),
        "direct_p99_ms": round(direct.quantile_ms(99), 2),
        "added_p50_ms": round(node.quantile_ms(50) - direct.quantile_ms(50), 2),
        "added_p99_ms": round(node.quantile_ms(99) - direct.quantile_ms(99), 2),
        "added_p50_multiple": round(node.quantile_ms(50) / direct.quantile_ms(50) - 1, 3),
        "added_p99_multiple": round(node.quantile_ms(99) / direct.quantile_ms(99) - 1, 3),
        "added_two_nodes_p50_ms": round(two.quantile_ms(50) - direct.quantile_ms(50), 2),
        "added_two_nodes_p99_ms": round(two.quantile_ms(99) - direct.quantile_ms(99), 2),
        "samples": {name: len(way.durations_ms) for name, way in ways.items()},
        "failed": {name: way.failed for name, way in ways.items()},
    }


async def fastest_fields(measurement: Measurement, caller: Caller) -> dict:
    """Return the highest rate that a node holds, with no service time."""
    workload, fleet = measurement.workload, measurement.fleet
    service = workload.probe.split(".")[0]
    path = find_fake_call(workload, workload.probe).path
    vm = fleet.topology.servers_of(service)[0]
    # Without service time the slots of the backend server are no limit.
    await fleet.put(f"{vm.backend_url}/test/faults", {"slow_factor": 0.0})
    held, lag_ms = await highest_rate(measurement, caller, f"{vm.front_url}/{service}{path}")
    return {
        "highest_rate_held": held,
        "highest_rate_generator_lag_p99_ms": round(lag_ms, 1),
        "highest_rate_rule": f"99% answered, p99 under {HELD_P99_MS:.0f} ms, for {STEP_S:.0f} s",
    }


async def highest_rate(measurement: Measurement, caller: Caller, url: str) -> tuple[int, float]:
    """Return the last of the rising rates that is held, and the generator's lag at it."""
    held, held_lag_ms = 0, 0.0
    for rate in RISING_RATES:
        way = PathSamples(url)
        lag_ms = await pace(caller, [way], rate, STEP_S)
        answered = len(way.durations_ms) / (rate * STEP_S)
        p99_ms = way.quantile_ms(99) if len(way.durations_ms) > 1 else float("inf")
        measurement.say(f"{rate}/s: {answered:.1%} answered, p99 {p99_ms:.1f} ms")
        if answered < HELD_SHARE or p99_ms > HELD_P99_MS:
            break
        held, held_lag_ms = rate, lag_ms
    return held, held_lag_ms
