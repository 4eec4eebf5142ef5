"""One server spoils 1 in 50 answers with an endless body in small chunks; its node runs out of memory."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness as h

SECONDS = 40
SPOILED_SHARE = 1 / 50
CHUNKS = b"2\r\nxx\r\n" * 8192
POSTERS = 16
BREAKS_ABOVE = 3


def spoil_one_in_fifty(fleet: h.Fleet, server: h.Server) -> None:
    """Let a server send an endless body in one of fifty answers, until the caller closes."""
    answers = 0

    async def special(_first, headers, writer) -> bool:
        nonlocal answers
        answers += 1
        if not h.TROUBLE or answers % round(1 / SPOILED_SHARE):
            return False
        attempt = headers["basilhill-attempt-id"]
        head = {"Basilhill-Attempt-Id": attempt, "Transfer-Encoding": "chunked"}
        writer.write(h.encode("HTTP/1.1 200 OK", head))
        sent = 0
        fleet.record(f"{server.id} begins an endless body for", attempt)
        try:
            while True:
                writer.write(CHUNKS)
                await writer.drain()
                sent += len(CHUNKS)
        finally:
            fleet.record(f"{server.id}: the caller closed after {sent} bytes of", attempt)

    server.special = special


async def case(fleet: h.Fleet) -> bool:
    services = ["catalogue", "catalogue", "ledger", "ledger"]
    routes = (
        h.route("r-browse", "/browse/", "catalogue"),
        h.route("r-post", "/post/", "ledger", kind="non_idempotent", priority=0),
    )
    await fleet.start(services, h.configuration(1, services, *routes))
    faulty, node = fleet.servers[1], fleet.nodes[1]
    for server in fleet.servers[2:]:
        server.work_s = 0.5
    await asyncio.sleep(h.CONTACT_S)
    spoil_one_in_fifty(fleet, faulty)
    ends = time.monotonic() + SECONDS
    lost: list[str] = []

    async def browse(origin: h.Node, number: int) -> None:
        client = h.Client(fleet.record, origin, f"browser-{number}")
        while time.monotonic() < ends:
            if origin.ready:
                await client.request("GET", f"/browse/{number}")
            await asyncio.sleep(0.1)

    async def post(number: int) -> None:
        client = h.Client(fleet.record, node, f"poster-{number}")
        await asyncio.sleep(number * 0.6 / POSTERS)
        while time.monotonic() < ends:
            if not node.ready:
                await asyncio.sleep(0.1)
                continue
            kept = client.used > 0
            answer = await client.request("POST", f"/post/{number}", b"invoice")
            ran = [s for s in fleet.servers[2:] if any(r[1] == client.attempt for r in s.runs)]
            ended = answer.problem.startswith("connection ended")
            if kept and ended and ran:
                lost.append(client.attempt)
                fleet.record("LOST", client.attempt, "ran at", ran[0].id, "and was not answered")
            await asyncio.sleep(0.1)

    work = [browse(origin, n) for n, origin in enumerate(fleet.nodes * 2)]
    await asyncio.gather(*work, *(post(n) for n in range(POSTERS)))
    for each in fleet.nodes:
        fleet.record(each.name, f"peak {each.peak_mb:.0f} MB, ended {len(each.own_ends)} times")
    fleet.record(f"{len(lost)} requests of kept connections lost, rule broken above {BREAKS_ABOVE}")
    print(f"{len(lost)} lost; peaks", [round(n.peak_mb) for n in fleet.nodes], "ends",
          [len(n.own_ends) for n in fleet.nodes])
    return len(lost) > BREAKS_ABOVE


h.run_case(Path(__file__).resolve().parent, case)
