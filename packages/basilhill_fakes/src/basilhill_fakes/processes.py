"""Processes of a test fleet."""

import asyncio
import signal
import sys
from pathlib import Path

import aiohttp
import orjson
from attrs import define, field

from basilhill_fakes.queries.processes import cpu_s
from basilhill_fakes.topology import Topology, Vm, build_topology
from basilhill_fakes.workloads import Workload

READY_TIMEOUT_S = 40.0
READY_POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 35.0
DATA_CENTRE_DELAY_MS = 1.5


@define(eq=False)
class Fleet:
    """Processes of a test fleet; signals go only to processes that the fleet started."""

    workload: Workload
    directory: Path
    topology: Topology
    direct: bool = False
    queue_limit: int | None = None
    simulate_distance: bool = False
    settings: dict = field(factory=dict)
    processes: dict[str, asyncio.subprocess.Process] = field(factory=dict)
    session: aiohttp.ClientSession | None = None

    @property
    def history(self) -> Path:
        return self.directory / "history"

    async def start(self, document: str) -> None:
        """Start the platform, the backend servers and the nodes; return once all are ready."""
        self.session = aiohttp.ClientSession()
        await self.start_program(
            "platform", "platform", {"address": self.topology.platform_address}
        )
        await self.wait_until_ok(f"{self.topology.platform_url}/test/counters")
        await self.publish_document(document)
        await self.publish_fleet()
        await asyncio.gather(*(self.start_backend(vm) for vm in self.topology.vms))
        if not self.direct:
            await asyncio.gather(*(self.start_node(vm) for vm in self.topology.vms))

    async def publish_document(self, text: str) -> int:
        """Publish a document; return its revision."""
        url = f"{self.topology.platform_url}/test/document"
        async with self.session.put(url, data=text.encode()) as response:
            return (await response.json())["revision"]

    async def publish_fleet(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the fleet list with some addresses in the state leaving."""
        vms = [
            {
                "node": vm.node,
                "service": vm.service,
                "data_centre": vm.data_centre,
                "state": "leaving" if vm.address in leaving else "live",
            }
            for vm in self.topology.vms
        ]
        await self.put(f"{self.topology.platform_url}/test/fleet", vms)

    async def start_backend(self, vm: Vm) -> None:
        """Start the backend server of a VM; return once it is ready."""
        options = {
            "address": vm.address,
            "service": vm.service,
            "workload": self.workload.name,
            "history": str(self.history / f"backend-{vm.address}.jsonl"),
            "direct": self.direct,
            "queue_limit": self.queue_limit,
            "peers": {
                service: [other.address for other in self.topology.servers_of(service)]
                for service in self.workload.services
            },
        }
        await self.start_program(f"backend-{vm.address}", "backend_server", options)
        await self.wait_until_ok(f"{vm.backend_url}/test/counters")

    async def start_node(self, vm: Vm) -> None:
        """Start the node of a VM; return once it is ready."""
        settings = {
            "address": vm.address,
            "data_centre": vm.data_centre,
            "service": vm.service,
            "platform_url": self.topology.platform_url,
            "administration_address": vm.address,
            "fingerprint_headers": ("x-order",),
            **self.settings,
        }
        delays = {
            other.node: DATA_CENTRE_DELAY_MS
            for other in self.topology.vms
            if self.simulate_distance and other.data_centre != vm.data_centre
        }
        options = {"settings": settings, "delays_ms": delays}
        await self.start_program(f"node-{vm.address}", "node", options)
        await self.wait_until_ok(f"{vm.administration_url}/readyz")

    async def start_program(self, name: str, module: str, options: dict) -> None:
        """Start a test double or a node with its output in a log file."""
        self.directory.mkdir(parents=True, exist_ok=True)
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-u",
                "-m",
                f"basilhill_fakes.{module}",
                orjson.dumps(options).decode(),
                stdout=log,
                stderr=log,
            )

    async def wait_until_ok(self, url: str) -> None:
        """Wait until a URL responds with status 200; TimeoutError after READY_TIMEOUT_S."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def put(self, url: str, value) -> None:
        """Send a JSON value to a test interface."""
        async with self.session.put(url, json=value) as response:
            response.raise_for_status()

    async def get(self, url: str):
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await response.json()

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def cpu_s(self) -> dict[str, float]:
        """Return the CPU time used by each running process, in seconds."""
        running = {n: p.pid for n, p in self.processes.items() if p.returncode is None}
        return {name: cpu_s(pid) for name, pid in running.items()}

    async def wait_ended(self, name: str) -> int:
        """Wait until a process has terminated; return its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self.processes[name].wait()

    async def stop(self) -> None:
        """Kill every process that this fleet started, including suspended ones."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        if self.session is not None:
            await self.session.close()


def new_fleet(workload: Workload, directory: Path, **options) -> Fleet:
    """Return a fleet that has not been started."""
    counts = options.pop("counts", None)
    return Fleet(workload, directory, build_topology(workload, counts), **options)
