"""Tests of crowds with bodies of the largest size of the sites, on machines with little memory.

Each test checks that all processes live, that their memory and descriptors stay below the limits of
their machine, and that an ordinary request is answered beside the crowd, which stays connected.
"""

import aiohttp
import pytest
from attrs import evolve
from basilhill_fakes.crowds import DroppedUpload, SlowDownload, Upload
from basilhill_fakes.small_machines import CrowdPlan, SmallMachine, check_crowd, small_machines
from basilhill_fakes.soak_fleet import CLIENT_PORT

MB = 1 << 20
BODY_BYTES = 64 * MB
RESPONSE_MB = 30
# Machines by name, each with the number of clients at one of its nodes.
MACHINES = {
    "200 MB": (SmallMachine(memory_mb=200, descriptors=1000, body_bytes=BODY_BYTES, slots=64), 60),
    "300 MB": (SmallMachine(memory_mb=300, descriptors=1000, body_bytes=BODY_BYTES, slots=64), 150),
}
CROWD_S = 10.0
WHOLE = Upload(BODY_BYTES, closes=True)
WHOLE_AT_OWN_SERVER = Upload(BODY_BYTES, closes=True, path="/read/crowd")
SHORT = Upload(BODY_BYTES, missing=1)
CHUNKED_SHORT = Upload(BODY_BYTES, missing=1, chunk_bytes=8 * MB)
MIDDLE_SHORT = Upload(8 * MB, missing=1, chunk_bytes=8 * MB)
TINY_SHORT = Upload(MB, missing=1, chunk_bytes=1)
ENDLESS = Upload(4 * BODY_BYTES, chunk_bytes=32 << 10)
CONTINUING = Upload(RESPONSE_MB * MB, expects_continue=True, closes=True)
# Kinds of clients of each crowd, in turn. A crowd is at both nodes, and its clients come back
# whenever a node closes their connection.
CROWDS = {
    "whole": [WHOLE, WHOLE_AT_OWN_SERVER],
    "short of its length": [*[SHORT] * 4, WHOLE, WHOLE_AT_OWN_SERVER],
    "short in large chunks": [*[CHUNKED_SHORT] * 4, WHOLE, WHOLE_AT_OWN_SERVER],
    "middle size short in one chunk": [*[MIDDLE_SHORT] * 4, WHOLE, WHOLE_AT_OWN_SERVER],
    "short in tiny chunks": [*[TINY_SHORT] * 4, WHOLE, WHOLE_AT_OWN_SERVER],
    "over the limit in chunks": [ENDLESS],
    "expecting 100": [CONTINUING],
    "dropped": [DroppedUpload(SHORT, seconds=1)],
    "dropped in large chunks": [*[DroppedUpload(CHUNKED_SHORT, seconds=1)] * 2, WHOLE],
    "read slowly": [
        SlowDownload(f"/read/large?mb={RESPONSE_MB}", rate=40_000),
        SlowDownload(f"/write/download?mb={RESPONSE_MB}", rate=40_000),
    ],
}


@pytest.mark.parametrize("machine_name", MACHINES)
@pytest.mark.parametrize("name", CROWDS)
async def test_large_bodies_of_a_crowd_stay_in_the_memory_of_the_machine(
    name, machine_name, tmp_path
):
    machine, number = MACHINES[machine_name]
    plan = CrowdPlan(CROWDS[name], number, CROWD_S, nodes=2, returning=True)
    await check_crowd(f"{name}, {machine_name}", tmp_path, machine, plan)


@pytest.mark.parametrize("machine_name", MACHINES)
async def test_single_request_of_the_largest_size_is_served_in_calm(machine_name, tmp_path):
    """Guard against limits that a client meets which keeps to those of the configuration."""
    # A route that waits for as long as a slow machine takes to pass the body on.
    machine = evolve(MACHINES[machine_name][0], timeout_s=60)
    async with small_machines(tmp_path, machine) as (fleet, sampler):
        url = f"http://{fleet.vms[0].address}:{CLIENT_PORT}/write/large"
        headers = {"Host": "shop.example", "Basilhill-Attempt-Id": "a-large"}
        headers["Basilhill-Deadline-Ms"] = "60000"
        body = bytes(BODY_BYTES - MB)
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=body) as response,
        ):
            assert response.status == 200
            assert len(await response.read()) > len(body)
        print(f"\nsingle, {machine_name}: {sampler.peak_mb:.1f} MB")
        assert sampler.peak_mb <= machine.memory_mb
