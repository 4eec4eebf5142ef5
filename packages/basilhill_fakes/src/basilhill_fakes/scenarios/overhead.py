"""Latency that a node adds to a call, resources that it uses, and rate that it sustains."""

import asyncio
import statistics

from attrs import frozen

from basilhill_fakes.caller import Caller
from basilhill_fakes.history import HistoryWriter, now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.pacing import PathSamples, send_paced_calls
from basilhill_fakes.queries.processes import cpu_s, resident_mb, transferred_bytes
from basilhill_fakes.workloads import find_fake_call

WARM_UP_ROUNDS = 10
IDLE_S = 5.0
WARM_UP_S = 1.5
RATE_PER_S = 70
PACED_S = 14.0
TWO_NODES_S = 6.0
RATES_PER_S = (100, 200, 300, 400, 500, 600, 800, 1_000, 1_200, 1_400)
STEP_S = 2.0
# A rate is sustained if nearly all calls succeed and their p99 duration is low.
MIN_SUCCESS_SHARE = 0.99
P99_LIMIT_MS = 50.0


@frozen
class NodeUsage:
    """CPU time and transferred bytes of a process up to a time."""

    time_ms: float
    cpu_s: float
    transferred_bytes: int

    def per_second(self, earlier: "NodeUsage") -> tuple[float, float]:
        """Return the share of a core and the bytes per second since an earlier reading."""
        duration_s = (self.time_ms - earlier.time_ms) / 1000
        used_bytes = self.transferred_bytes - earlier.transferred_bytes
        return (self.cpu_s - earlier.cpu_s) / duration_s, used_bytes / duration_s


@frozen
class Overhead:
    """Probe calls made directly and through nodes in turn, then through a node at rising rates."""

    name: str = "overhead"

    async def run(self, measurement: Measurement) -> dict:
        """Run once; return the result fields."""
        fleet = measurement.fleet
        fleet.simulate_distance = False
        history = HistoryWriter(fleet.history / "caller.jsonl")
        caller = Caller(measurement.workload, fleet.topology, history)
        caller.random.seed(measurement.seed)
        try:
            measurement.log_progress(
                f"starting {len(fleet.topology.vms)} VMs without added distance"
            )
            await fleet.start(measurement.document)
            await open_streams(caller)
            idle_usage = await idle_fields(measurement)
            paced = await paced_fields(measurement, caller)
            maximum = await maximum_rate_fields(measurement, caller)
        finally:
            await caller.session.close()
            await fleet.stop()
        return {**idle_usage, **paced, **maximum}


async def open_streams(caller: Caller) -> None:
    """Perform some actions, because nodes open streams to peers on the first calls."""
    for _ in range(WARM_UP_ROUNDS):
        actions = [caller.transact() for _ in range(10)] + [caller.browse() for _ in range(10)]
        await asyncio.gather(*actions)


def node_pid(measurement: Measurement, address: str) -> int:
    return measurement.fleet.processes[f"node-{address}"].pid


def read_node_usage(measurement: Measurement, address: str) -> NodeUsage:
    """Read the CPU time and transferred bytes of a node."""
    pid = node_pid(measurement, address)
    return NodeUsage(now_ms(), cpu_s(pid), transferred_bytes(pid))


async def idle_fields(measurement: Measurement) -> dict:
    """Return the resources that nodes use for control traffic while idle."""
    measurement.log_progress(f"idle for {IDLE_S:.0f} s")
    addresses = [vm.address for vm in measurement.fleet.topology.vms]
    earlier = [read_node_usage(measurement, address) for address in addresses]
    await asyncio.sleep(IDLE_S)
    usage = [
        read_node_usage(measurement, address).per_second(before)
        for address, before in zip(addresses, earlier, strict=True)
    ]
    return {
        "control_cpu_share": round(statistics.mean(share for share, _ in usage), 4),
        "control_bytes_s": round(statistics.mean(rate for _, rate in usage)),
        "control_bytes_method": "rchar + wchar of /proc/PID/io of idle nodes, mean, with logs",
        "control_nodes": len(addresses),
    }


async def paced_fields(measurement: Measurement, caller: Caller) -> dict:
    """Return the latency that nodes add to calls at a fixed rate, and the resources used."""
    workload, topology = measurement.workload, measurement.fleet.topology
    service = workload.probe.split(".")[0]
    path = find_fake_call(workload, workload.probe).path
    vm = topology.servers_of(service)[0]
    other = next(v for v in topology.vms if v.service != service)
    call_paths = {
        "direct": PathSamples(f"{vm.backend_url}{path}"),
        "node": PathSamples(f"{vm.client_url}/{service}{path}"),
        "two_nodes": PathSamples(f"{other.client_url}/{service}{path}"),
    }
    await send_paced_calls(caller, list(call_paths.values()), RATE_PER_S, WARM_UP_S)
    for call_path in call_paths.values():
        call_path.durations_ms.clear()
    measurement.log_progress(f"{workload.probe}: directly and through a node in turn")
    earlier = read_node_usage(measurement, vm.address)
    await send_paced_calls(caller, [call_paths["direct"], call_paths["node"]], RATE_PER_S, PACED_S)
    share, _ = read_node_usage(measurement, vm.address).per_second(earlier)
    rss_mb = resident_mb(node_pid(measurement, vm.address))
    measurement.log_progress(f"{workload.probe}: through a node of {other.service}")
    await send_paced_calls(caller, [call_paths["two_nodes"]], RATE_PER_S, TWO_NODES_S)
    return {
        **added_latency_fields(call_paths),
        "calls_per_s": RATE_PER_S,
        "node_cpu_share": round(share, 3),
        "node_rss_mb": round(rss_mb, 1),
    }


def added_latency_fields(call_paths: dict[str, PathSamples]) -> dict:
    """Return the latency that the paths through nodes add to direct calls."""
    direct, node, two = call_paths["direct"], call_paths["node"], call_paths["two_nodes"]
    return {
        "direct_p50_ms": round(direct.quantile_ms(50), 2),
        "direct_p99_ms": round(direct.quantile_ms(99), 2),
        "added_p50_ms": round(node.quantile_ms(50) - direct.quantile_ms(50), 2),
        "added_p99_ms": round(node.quantile_ms(99) - direct.quantile_ms(99), 2),
        "added_p50_multiple": round(node.quantile_ms(50) / direct.quantile_ms(50) - 1, 3),
        "added_p99_multiple": round(node.quantile_ms(99) / direct.quantile_ms(99) - 1, 3),
        "added_two_nodes_p50_ms": round(two.quantile_ms(50) - direct.quantile_ms(50), 2),
        "added_two_nodes_p99_ms": round(two.quantile_ms(99) - direct.quantile_ms(99), 2),
        "samples": {name: len(call_path.durations_ms) for name, call_path in call_paths.items()},
        "failed": {name: call_path.failed for name, call_path in call_paths.items()},
    }


async def maximum_rate_fields(measurement: Measurement, caller: Caller) -> dict:
    """Return the highest rate that a node sustains when calls have no service time."""
    workload, fleet = measurement.workload, measurement.fleet
    service = workload.probe.split(".")[0]
    path = find_fake_call(workload, workload.probe).path
    vm = fleet.topology.servers_of(service)[0]
    # Without service time, the slots of the backend server do not limit the rate.
    await fleet.put(f"{vm.backend_url}/test/faults", {"slow_factor": 0.0})
    sustained_rate, lag_ms = await find_maximum_rate(
        measurement, caller, f"{vm.client_url}/{service}{path}"
    )
    return {
        "highest_rate_held": sustained_rate,
        "highest_rate_generator_lag_p99_ms": round(lag_ms, 1),
        "highest_rate_rule": f"99% answered, p99 under {P99_LIMIT_MS:.0f} ms, for {STEP_S:.0f} s",
    }


async def find_maximum_rate(
    measurement: Measurement, caller: Caller, url: str
) -> tuple[int, float]:
    """Return the last sustained rate of RATES_PER_S and the p99 send delay at that rate."""
    sustained_rate, sustained_lag_ms = 0, 0.0
    for rate in RATES_PER_S:
        call_path = PathSamples(url)
        lag_ms = await send_paced_calls(caller, [call_path], rate, STEP_S)
        success_share = len(call_path.durations_ms) / (rate * STEP_S)
        p99_ms = call_path.quantile_ms(99) if len(call_path.durations_ms) > 1 else float("inf")
        measurement.log_progress(f"{rate}/s: {success_share:.1%} succeeded, p99 {p99_ms:.1f} ms")
        if success_share < MIN_SUCCESS_SHARE or p99_ms > P99_LIMIT_MS:
            break
        sustained_rate, sustained_lag_ms = rate, lag_ms
    return sustained_rate, sustained_lag_ms
