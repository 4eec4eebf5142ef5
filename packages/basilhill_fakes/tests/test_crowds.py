"""Tests of crowds of clients beyond the limits at real node processes with little memory.

Each test checks that all processes live, that their memory and descriptors stay below the limits of
their machine, and that an ordinary request is answered beside the crowd, which stays connected.
"""

import aiohttp
import pytest
from basilhill_fakes.crowds import UnfinishedHead, UnreadDownload, Upload
from basilhill_fakes.small_machines import CrowdPlan, SmallMachine, check_crowd, small_machines
from basilhill_fakes.soak_fleet import CLIENT_PORT

BODY_BYTES = 24 << 20
MACHINE = SmallMachine(memory_mb=110, descriptors=300, body_bytes=BODY_BYTES)
CROWD = 24
MANY = 400
CROWD_S = 6.0

CROWDS = {
    "whole": (Upload(BODY_BYTES), CROWD),
    "whole at its own server": (Upload(BODY_BYTES, path="/read/crowd"), CROWD),
    "short of its length": (Upload(BODY_BYTES, missing=1), CROWD),
    "short of its last chunk": (Upload(BODY_BYTES, missing=1, chunk_bytes=64 << 10), CROWD),
    "announced over the limit": (Upload(4 * BODY_BYTES), CROWD),
    "over the limit in chunks": (Upload(4 * BODY_BYTES, chunk_bytes=64 << 10), CROWD),
    "expecting 100": (Upload(BODY_BYTES, missing=1, expects_continue=True), CROWD),
    "many of middle size": (Upload(60 << 10, missing=1), MANY),
    "unfinished heads": (UnfinishedHead(16_000), MANY),
    "unread responses": (UnreadDownload(), CROWD),
    "unread pipelined responses": (UnreadDownload(requests=8), CROWD),
}


@pytest.mark.parametrize("name", CROWDS)
async def test_crowd_ends_no_process_and_leaves_room_for_ordinary_requests(name, tmp_path):
    client, number = CROWDS[name]
    await check_crowd(name, tmp_path, MACHINE, CrowdPlan([client], number, CROWD_S))


async def test_single_request_inside_the_limits_is_served_in_calm(tmp_path):
    """Guard against limits that a client meets which keeps to those of the configuration."""
    async with small_machines(tmp_path, MACHINE) as (fleet, sampler):
        url = f"http://{fleet.vms[0].address}:{CLIENT_PORT}/write/large"
        headers = {"Host": "shop.example", "Basilhill-Attempt-Id": "a-large"}
        headers["Basilhill-Deadline-Ms"] = "20000"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=b"x" * BODY_BYTES) as response,
        ):
            assert response.status == 200
            assert len(await response.read()) > BODY_BYTES
        assert sampler.peak_mb <= MACHINE.memory_mb
