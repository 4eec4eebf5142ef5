"""Two real nodes on machines with little memory, with a sampler of what they use at most."""

import asyncio
import os
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field, frozen

from basilhill_fakes.crowds import Client, Crowd
from basilhill_fakes.plain_server import PlainServer
from basilhill_fakes.sidecar_fleet import build_configuration
from basilhill_fakes.soak_fleet import CLIENT_PORT, READS, SLOTS, WRITES, SoakFleet, SoakVm

MB = 1 << 20
SAMPLE_S = 0.01
# State of listening sockets in /proc/net/tcp, whose queues are lengths of backlogs.
LISTENING = "0A"
# Time for a new configuration to be in force.
CONFIGURATION_S = 1.0
# An ordinary client comes back until it is answered.
ANSWER_S = 60.0
PAUSE_S = 0.2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Paths with large responses, at the server of the first node and of the second one.
LARGE_PATHS = ("/read/large", "/write/download")


@frozen
class SmallMachine:
    """Memory and descriptors of each machine, and limits and timeout of the configuration."""

    memory_mb: int
    descriptors: int
    body_bytes: int
    slots: int = SLOTS
    # Timeout of the routes in seconds.
    timeout_s: int = 2

    @property
    def limits(self) -> dict[str, int]:
        """Return the limits of requests in the configuration."""
        return {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": self.body_bytes,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        }


@define(eq=False)
class PeakSampler:
    """Sampler of the peak memory and descriptors of all nodes, with what their sockets hold."""

    fleet: SoakFleet
    peak_mb: float = 0.0
    peak_descriptors: int = 0
    peak_by_vm: dict[int, float] = field(factory=dict)
    # Part of the peak that the system holds in the buffers of sockets.
    peak_queued_mb: float = 0.0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            queues = read_socket_queues()
            for vm in self.fleet.vms:
                # A process can end between the check and the reading.
                with suppress(OSError):
                    if vm.process.returncode is None:
                        self.sample(vm.number, Path(f"/proc/{vm.process.pid}"), queues)
            await asyncio.sleep(SAMPLE_S)

    def sample(self, number: int, process: Path, queues: dict[str, int]) -> None:
        resident = int((process / "statm").read_text().split()[1]) * PAGE_BYTES
        links = read_links(process / "fd")
        queued = sum(queues.get(link, 0) for link in links)
        used_mb = (resident + queued) / MB
        self.peak_by_vm[number] = max(self.peak_by_vm.get(number, 0.0), used_mb)
        self.peak_descriptors = max(self.peak_descriptors, len(links))
        if used_mb > self.peak_mb:
            self.peak_mb, self.peak_queued_mb = used_mb, queued / MB


def read_links(directory: Path) -> list[str]:
    """Return the targets of the descriptors of a process."""
    links = []
    for name in os.listdir(directory):
        with suppress(OSError):
            links.append(os.readlink(directory / name))
    return links


def read_socket_queues() -> dict[str, int]:
    """Return the bytes that the system holds for each TCP socket, by the link of its descriptor."""
    queues = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        sent, received = fields[4].split(":")
        size = int(sent, 16) + int(received, 16)
        if size and fields[3] != LISTENING:
            queues[f"socket:[{fields[9]}]"] = size
    return queues


class LargeResponseServer(PlainServer):
    """Backend server with large responses on some paths: 4 MB, or as many as the query says."""

    async def run(self, request: web.Request) -> web.StreamResponse:
        response = await super().run(request)
        if request.path in LARGE_PATHS:
            response.body = bytes(int(request.query.get("mb", "4")) << 20)
        return response


@asynccontextmanager
async def small_machines(
    directory: Path, machine: SmallMachine
) -> AsyncIterator[tuple[SoakFleet, PeakSampler]]:
    """Start two nodes on small machines; yield the fleet and the sampler."""
    limits = {"memoryMb": machine.memory_mb, "maxFds": machine.descriptors}
    fleet = SoakFleet(directory, Random(1), proxied=False, process_limits=limits)
    fleet.server_type = LargeResponseServer
    fleet.slots = machine.slots
    try:
        await fleet.start(("calendar", "deposits"))
        routes = [route | {"timeoutS": machine.timeout_s} for route in (READS, WRITES)]
        configuration = build_configuration(2, *routes) | {"limits": machine.limits}
        fleet.store.put("op/config", configuration)
        await asyncio.sleep(CONFIGURATION_S)
        sampler = PeakSampler(fleet)
        sampling = asyncio.create_task(sampler.run())
        try:
            yield fleet, sampler
        finally:
            sampling.cancel()
    finally:
        await fleet.stop()


async def serve_ordinary_request(fleet: SoakFleet, vm: SoakVm, method: str, path: str) -> None:
    """Send an ordinary request until it is answered; TimeoutError after ANSWER_S."""
    async with asyncio.timeout(ANSWER_S):
        while True:
            async with aiohttp.ClientSession() as session:
                if (await fleet.send_attempt(session, vm, method, path)).status == 200:
                    return
            await asyncio.sleep(PAUSE_S)


@frozen
class CrowdPlan:
    """Crowd of clients of some kinds, in turn, for some seconds, at each of some nodes."""

    clients: Sequence[Client]
    number: int
    seconds: float
    nodes: int = 1
    returning: bool = False


async def check_crowd(name: str, directory: Path, machine: SmallMachine, plan: CrowdPlan) -> None:
    """Check the nodes beside a crowd at one of them; AssertionError if they exceed the machine."""
    async with small_machines(directory, machine) as (fleet, sampler):
        crowds = [Crowd(vm.address, CLIENT_PORT, plan.returning) for vm in fleet.vms[: plan.nodes]]
        await asyncio.gather(
            *(crowd.send(plan.clients, plan.number, plan.seconds) for crowd in crowds)
        )
        # At the node of the crowd and at the other one, each to the server of the other.
        await serve_ordinary_request(fleet, fleet.vms[0], "POST", "/write/")
        await serve_ordinary_request(fleet, fleet.vms[1], "GET", "/read/")
        for crowd in crowds:
            await crowd.leave()
        # Shown by pytest -s, for docs/MEASUREMENTS.md.
        peaks = ", ".join(f"{peak:.1f}" for peak in sampler.peak_by_vm.values())
        sockets = f"{sampler.peak_queued_mb:.1f} MB in sockets"
        print(f"\n{name}: {peaks} MB, {sockets}, {sampler.peak_descriptors} descriptors")
        assert [vm.process.returncode for vm in fleet.vms] == [None, None]
        assert sampler.peak_mb <= machine.memory_mb
        assert sampler.peak_descriptors <= machine.descriptors
