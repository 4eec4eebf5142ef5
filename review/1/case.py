"""Another writer leaves an entry that cannot be read; nodes go on with the old configuration."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness as h

# Both are no tables and end before they are complete. Nodes ignore the short one as the pages ask.
UNREADABLE = b"[" * 2000
SHORT = b"["
SETTLED_S = 17
SECONDS = 12


async def case(fleet: h.Fleet) -> bool:
    services = ["checkout", "checkout", "ledger", "ledger"]
    paths = "/capture/", "/keep/"

    def version(number: int, service: str) -> dict:
        routes = (
            h.route("r-capture", paths[0], service, kind="non_idempotent"),
            h.route("r-keep", paths[1], "ledger"),
        )
        return h.configuration(number, services, *routes)

    await fleet.start(services, version(1, "checkout"))
    clients = [h.Client(fleet.record, node, f"client-{node.name}") for node in fleet.nodes]
    # Ordinary work first: by then the nodes have settled who reads the store for the others.
    await asyncio.sleep(SETTLED_S)
    fleet.store.put("op/config", version(2, "checkout"))
    await asyncio.sleep(h.CONFIG_APPLY_S)
    for client in clients:
        await client.request("POST", paths[0] + "before", b"card")
    fleet.store.put("servers/x-other-writer", UNREADABLE if h.TROUBLE else SHORT)
    await asyncio.sleep(3)
    fleet.store.put("op/config", version(3, "ledger"))
    acknowledged = time.monotonic()
    await asyncio.sleep(h.CONFIG_APPLY_S + 0.5)
    old: list[str] = []
    while time.monotonic() < acknowledged + SECONDS:
        for client in clients:
            await client.request("POST", paths[0] + "after", b"card")
            ran = [s for s in fleet.servers if any(r[1] == client.attempt for r in s.runs)]
            if any(server.service == "checkout" for server in ran):
                after_s = client.sent_s - acknowledged
                old.append(client.attempt)
                fleet.record(
                    f"CONFIG: {client.attempt} sent {after_s:.1f} s after the acknowledgement of"
                    f" version 3 by {client.label} ran at {ran[0].id} of the old service"
                )
        await asyncio.sleep(0.5)
    print(f"{len(old)} requests were run by the old service")
    return bool(old)


h.run_case(Path(__file__).resolve().parent, case)
