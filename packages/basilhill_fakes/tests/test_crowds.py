"""Tests of crowds of clients beyond the limits at real node processes with little memory.

Each test checks that all processes live, that their memory and descriptors stay below the limits of
their machine, and that an ordinary request is answered beside the crowd, which stays connected.
"""

import asyncio
import os
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import aiohttp
import pytest
from basilhill_fakes.crowds import Crowd, UnfinishedHead, UnreadDownload, Upload
from basilhill_fakes.plain_server import PlainServer
from basilhill_fakes.sidecar_fleet import build_configuration
from basilhill_fakes.soak_fleet import CLIENT_PORT, READS, WRITES, SoakFleet, SoakVm

# Memory and descriptors of the machines of these tests, and the largest body.
MEMORY_MB = 110
DESCRIPTORS = 300
BODY_BYTES = 24 << 20
LARGE_RESPONSE_BYTES = 4 << 20
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
}
CROWD = 24
MANY = 400
CROWD_S = 6.0
SAMPLE_S = 0.01
# An ordinary client comes back until it is answered.
ANSWER_S = 60.0
PAUSE_S = 0.2
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

CROWDS = {
    "whole": (Upload(BODY_BYTES), CROWD),
    "whole at its own server": (Upload(BODY_BYTES, path="/read/crowd"), CROWD),
    "short of its length": (Upload(BODY_BYTES, missing=1), CROWD),
    "short of its last chunk": (Upload(BODY_BYTES, missing=1, chunked=True), CROWD),
    "announced over the limit": (Upload(4 * BODY_BYTES), CROWD),
    "over the limit in chunks": (Upload(4 * BODY_BYTES, chunked=True), CROWD),
    "expecting 100": (Upload(BODY_BYTES, missing=1, expects_continue=True), CROWD),
    "many of middle size": (Upload(60 << 10, missing=1), MANY),
    "unfinished heads": (UnfinishedHead(16_000), MANY),
    "unread responses": (UnreadDownload(), CROWD),
    "unread pipelined responses": (UnreadDownload(requests=8), CROWD),
}


class PeakSampler:
    """Sampler of the peak memory and descriptors of all nodes."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.peak_mb = 0.0
        self.peak_descriptors = 0

    async def run(self) -> None:
        while True:
            for vm in self.fleet.vms:
                if vm.process.returncode is None:
                    self.sample(Path(f"/proc/{vm.process.pid}"))
            await asyncio.sleep(SAMPLE_S)

    def sample(self, process: Path) -> None:
        pages = int((process / "statm").read_text().split()[1])
        self.peak_mb = max(self.peak_mb, pages * PAGE_BYTES / 2**20)
        self.peak_descriptors = max(self.peak_descriptors, len(os.listdir(process / "fd")))


class LargeResponseServer(PlainServer):
    """Backend server whose responses on one path are large."""

    async def run(self, request):
        response = await super().run(request)
        if request.path == "/read/large":
            response.body = b"x" * LARGE_RESPONSE_BYTES
        return response


@asynccontextmanager
async def small_machines(directory: Path):
    """Start two nodes on machines with little memory; yield the fleet and the sampler."""
    limits = {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS}
    fleet = SoakFleet(directory, Random(1), proxied=False, process_limits=limits)
    fleet.server_type = LargeResponseServer
    try:
        await fleet.start(("calendar", "deposits"))
        configuration = build_configuration(2, READS, WRITES) | {"limits": LIMITS}
        fleet.store.put("op/config", configuration)
        await asyncio.sleep(1.0)
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


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_ends_no_process_and_leaves_room_for_ordinary_requests(name, tmp_path):
    client, number = CROWDS[name]
    async with small_machines(tmp_path) as (fleet, sampler):
        crowd = Crowd(fleet.vms[0].address, CLIENT_PORT)
        await crowd.send(client, number, CROWD_S)
        # At the node of the crowd and at the other one, each to the server of the other.
        await serve_ordinary_request(fleet, fleet.vms[0], "POST", "/write/")
        await serve_ordinary_request(fleet, fleet.vms[1], "GET", "/read/")
        await crowd.leave()
        # Shown by pytest -s, for docs/MEASUREMENTS.md.
        print(f"\n{name}: {sampler.peak_mb:.1f} MB, {sampler.peak_descriptors} descriptors")
        assert [vm.process.returncode for vm in fleet.vms] == [None, None]
        assert sampler.peak_mb <= MEMORY_MB
        assert sampler.peak_descriptors <= DESCRIPTORS


async def test_single_request_inside_the_limits_is_served_in_calm(tmp_path):
    """Guard against limits that a client meets which keeps to those of the configuration."""
    async with small_machines(tmp_path) as (fleet, sampler):
        url = f"http://{fleet.vms[0].address}:{CLIENT_PORT}/write/large"
        headers = {"Host": "shop.example", "Basilhill-Attempt-Id": "a-large"}
        headers["Basilhill-Deadline-Ms"] = "20000"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"x" * BODY_BYTES) as response,
        ):
            assert response.status == 200
            assert len(await response.read()) > BODY_BYTES
        assert sampler.peak_mb <= MEMORY_MB
