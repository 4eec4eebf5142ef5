"""The store comes back from a copy that is some seconds old."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness_2 import BOUNDS, HEARTBEAT_S, TROUBLE, main, route

# The servers have just started: at each heartbeat they write what is left of their cold time.
COLD_AT_START_S, COLD_S, HEARTBEATS = 7.0, 4.0, 3
AWAY_S = 1.0
# Time from the return of the store until the next change; the store is stable after `contactS`.
CALM_S = 8.0
CHECKED_S = 10.0


async def case(deployment):
    deployment.zones = ("a", "b")
    store = deployment.store
    browse = route("browse", "/browse/", "catalogue")

    def moved(service, timeout_s):
        return route("moved", "/moved/", service, timeoutS=timeout_s)

    async def warm_up(server):
        for heartbeat in range(HEARTBEATS):
            server.cold_s = COLD_S - heartbeat * HEARTBEAT_S
            server.register()
            await asyncio.sleep(HEARTBEAT_S)

    deployment.write_configuration(1, browse, moved("catalogue", 4.0))
    await deployment.start(
        ["catalogue", "catalogue", "checkout", "checkout"], cold_s=COLD_AT_START_S
    )
    copy = store.copy()
    deployment.log("copy taken", revision=store.revision)
    warming = [asyncio.create_task(warm_up(server)) for server in deployment.servers]
    await asyncio.sleep(1.0)
    deployment.write_configuration(2, browse, moved("catalogue", 3.0))
    await asyncio.gather(*warming)
    if TROUBLE:
        deployment.log("store away", revision=store.revision)
        store.go_down()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        deployment.log("store back", era=store.era, revision=store.revision)
        # What the operator and the servers wrote is written again.
        deployment.write_configuration(2, browse, moved("catalogue", 3.0))
        for server in deployment.servers:
            server.cold_s = 0.0
            server.register()
        deployment.log("written again", revision=store.revision)
    await asyncio.sleep(CALM_S)
    deployment.write_configuration(3, browse, moved("checkout", 4.0))
    await asyncio.sleep(BOUNDS["configApplyS"] + 0.5)
    broken, sent, ends_s = [], 0, deployment.now_s() + CHECKED_S
    while deployment.now_s() < ends_s:
        for node in deployment.nodes:
            attempt, answer = await deployment.send(node, "/moved/x")
            sent += 1
            if answer is not None and answer.status == 200 and b"checkout" not in answer.body:
                broken.append(f"{attempt} at machine {node.number} was run by the old service")
        await asyncio.sleep(0.25)
    deployment.log("result", sent=sent, broken=len(broken))
    print(f"{len(broken)} of {sent} requests were run by the service of an older version")
    return broken[:5]


main(case, Path(__file__).with_name("record.txt"))
