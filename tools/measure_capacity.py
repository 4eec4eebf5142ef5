"""Measure how a node's memory and processor time grow with its load.

The loads are sections, fleet list entries, execution records, peer streams and calls, each at three
or more sizes.
"""

import argparse
import asyncio
import gc
import os
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import aiohttp
import uvloop
from attrs import frozen
from basilhill.commands.executions import complete_execution, start_execution
from basilhill.commands.fleet import apply_fleet_list
from basilhill.documents import Section
from basilhill.executions import ExecutionTable
from basilhill.fleet import FleetView, VmEntry
from basilhill.loads import RoutingTable
from basilhill.outcomes import Answer
from basilhill.queries.documents import build_document, parse_section
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.workloads import DEGUSTARI
from basilhill_node.wire import peer_pb2 as wire
from basilhill_node.wire.peer_grpc import PeerStub
from expression import Ok
from grpclib.client import Channel
from rich.console import Console
from rich.table import Table

ROOT = Path(__file__).parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
OBSERVE_S = 8.0
ANSWER = Answer(200, (), b"x" * 600)

SECTION = """[team.team{n}]
contact = "team{n}@example.test"
[team.team{n}.service.service{n}]
slots = 50
connections = 500
[team.team{n}.service.service{n}.call.read]
method = "GET"
path = "/read"
idempotent = true
timeout_ms = 1000
usual_ms = 10
[team.team{n}.service.service{n}.call.write]
method = "POST"
path = "/write"
idempotent = false
timeout_ms = 1000
usual_ms = 10
[team.team{n}.service.service{n}.call.list]
method = "GET"
path = "/list"
idempotent = true
timeout_ms = 1000
usual_ms = 10
[team.team{n}.action.read{n}]
entry = "service{n}.read"
class = "browse"
timeout_ms = 1000
retries = 2
[team.team{n}.action.write{n}]
entry = "service{n}.write"
class = "transaction"
timeout_ms = 1000
retries = 2
"""


@frozen
class CostSample:
    """Memory and processor costs at one size."""

    size: int
    values: dict[str, float]


@frozen
class CostCurve:
    """Cost samples at increasing sizes of one kind of load."""

    name: str
    samples: tuple[CostSample, ...]

    def slopes(self) -> dict[str, float]:
        """Return the least-squares slope of each value per unit of size."""
        sizes = [sample.size for sample in self.samples]
        return {
            name: statistics.linear_regression(
                sizes, [sample.values[name] for sample in self.samples]
            ).slope
            for name in self.samples[0].values
        }


def measure_allocation(build: Callable[[], object]) -> dict[str, float]:
    """Return the memory of a structure in kilobytes and the processor time to build it in ms."""
    gc.collect()
    started = time.process_time()
    structure = build()
    cpu_ms = (time.process_time() - started) * 1000
    del structure
    gc.collect()
    tracemalloc.start()
    structure = build()
    gc.collect()
    kilobytes = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    del structure
    return {"memory_kb": kilobytes, "cpu_ms": cpu_ms}


def build_sections(count: int) -> object:
    """Return parsed and indexed sections in the form that a node keeps them."""
    sections = [Section(f"team{n}", 1, SECTION.format(n=n)) for n in range(count)]
    return sections, build_document(parse_section(section).ok for section in sections)


def measure_section_change_ms(count: int) -> dict[str, float]:
    """Return the processor time to activate one changed section among others."""
    _, document = build_sections(count)
    changed = Section("team0", 2, SECTION.format(n=0))
    started = time.process_time()
    policies = dict(document.sections)
    policies["team0"] = parse_section(changed).ok
    build_document(policies.values())
    return {"change_cpu_ms": (time.process_time() - started) * 1000}


def build_fleet_list(count: int) -> object:
    """Apply a fleet list for a node that calls about one service in a hundred."""
    entries = [
        VmEntry(f"10.{n >> 16}.{(n >> 8) & 255}.{n & 255}:7401", f"service{n % 870}", f"dc{n % 36}")
        for n in range(count)
    ]
    fleet, routing = FleetView(), RoutingTable("dc0")
    called = frozenset(f"service{n}" for n in range(9))
    apply_fleet_list(fleet, routing, entries, called, 0)
    return fleet, routing


def build_executions(count: int) -> object:
    """Return an execution table with completed executions and 600-byte responses."""
    table = ExecutionTable(count + 1, count * 1000 + 1, 600_000)
    for number in range(count):
        key = f"10.0.0.1:7401/0123456789ab/{number}"
        start_execution(table, key, 0)
        complete_execution(table, key, Ok(Answer(200, (), bytes(600))))
    return table


def process_cpu_ms(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / TICKS_PER_S


def process_rss_kb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1000


async def run_idle_stream(node: str, number: int, received: list[int]) -> None:
    """Keep one idle peer stream to a node open and add the bytes received to `received[0]`."""
    host, port = node.rsplit(":", 1)
    channel = Channel(host, int(port))
    try:
        async with PeerStub(channel).Exchange.open() as stream:
            hello = wire.Hello(node=f"10.9.{number >> 8}.{number & 255}:7401", incarnation="0")
            await stream.send_message(wire.Batch(frames=[wire.Frame(hello=hello)]))
            async for batch in stream:
                received[0] += batch.ByteSize()
    finally:
        channel.close()


async def measure_process(pid: int) -> dict[str, float]:
    """Return the processor usage of a process over `OBSERVE_S`, and its memory at the end."""
    before = process_cpu_ms(pid)
    await asyncio.sleep(OBSERVE_S)
    cpu_percent = (process_cpu_ms(pid) - before) / (OBSERVE_S * 10)
    return {"cpu_percent": cpu_percent, "rss_kb": process_rss_kb(pid)}


async def measure_peers(fleet: Fleet, sizes: tuple[int, ...]) -> CostCurve:
    """Measure a node that sends heartbeats on a number of idle peer streams."""
    vm = fleet.topology.servers_of(DEGUSTARI.bottleneck)[0]
    pid = fleet.processes[f"node-{vm.address}"].pid
    samples = []
    for size in sizes:
        received = [0]
        streams = [asyncio.create_task(run_idle_stream(vm.node, n, received)) for n in range(size)]
        await asyncio.sleep(2.0)
        received[0] = 0
        values = await measure_process(pid)
        values["sent_bytes_s"] = received[0] / OBSERVE_S
        samples.append(CostSample(size, values))
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        await asyncio.sleep(1.0)
    return CostCurve("peer streams", tuple(samples))


async def measure_calls(fleet: Fleet, rates: tuple[int, ...]) -> CostCurve:
    """Measure a node that executes calls at its local backend server at several rates."""
    vm = fleet.topology.servers_of("flavours")[0]
    pid = fleet.processes[f"node-{vm.address}"].pid
    samples = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:

        async def call() -> None:
            async with session.get(f"{vm.client_url}/flavours/flavours") as response:
                await response.read()

        async def send_load(rate: int) -> None:
            calls = []
            started = time.monotonic()
            for number in range(int(rate * (OBSERVE_S + 1))):
                delay = started + number / rate - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                calls.append(asyncio.create_task(call()))
            await asyncio.gather(*calls)

        for rate in rates:
            task = asyncio.create_task(send_load(rate))
            await asyncio.sleep(0.5)
            samples.append(CostSample(rate, await measure_process(pid)))
            await task
    return CostCurve("calls/s", tuple(samples))


async def measure_processes() -> list[CostCurve]:
    """Measure the costs of peer streams and calls at a running node."""
    directory = ROOT / "run" / f"capacity-{int(time.time())}"
    fleet = new_fleet(DEGUSTARI, directory, counts=dict.fromkeys(DEGUSTARI.services, 1))
    try:
        await fleet.start((ROOT / DEGUSTARI.document).read_text())
        peers = await measure_peers(fleet, (0, 50, 100, 200))
        calls = await measure_calls(fleet, (20, 70, 140))
    finally:
        await fleet.stop()
    return [peers, calls]


def measure_structures() -> list[CostCurve]:
    """Measure the costs of data structures within this process."""
    sections = tuple(
        CostSample(
            n, {**measure_allocation(lambda n=n: build_sections(n)), **measure_section_change_ms(n)}
        )
        for n in (100, 300, 870)
    )
    fleet = tuple(
        CostSample(n, measure_allocation(lambda n=n: build_fleet_list(n)))
        for n in (1_000, 5_000, 20_000)
    )
    executions = tuple(
        CostSample(n, measure_allocation(lambda n=n: build_executions(n)))
        for n in (1_000, 5_000, 20_000)
    )
    return [
        CostCurve("sections (1 kB each)", sections),
        CostCurve("fleet list entries", fleet),
        CostCurve("execution records (600-byte responses)", executions),
    ]


def print_curves(curves: list[CostCurve], console: Console) -> None:
    """Print the samples and slopes of each curve."""
    for curve in curves:
        names = list(curve.samples[0].values)
        table = Table(title=curve.name)
        for name in ("size", *names):
            table.add_column(name, justify="right")
        for sample in curve.samples:
            table.add_row(str(sample.size), *(f"{sample.values[name]:.2f}" for name in names))
        slopes = curve.slopes()
        table.add_row("slope", *(f"{slopes[name]:.5f}" for name in names))
        console.print(table)


def main() -> None:
    """Parse the arguments, run the measurements and print their curves."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--structures-only", action="store_true")
    arguments = parser.parse_args()
    curves = measure_structures()
    if not arguments.structures_only:
        curves += uvloop.run(measure_processes())
    print_curves(curves, Console(width=110))


if __name__ == "__main__":
    main()
