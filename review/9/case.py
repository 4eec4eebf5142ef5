"""A server in need that names its limit as a third of ten requests a second."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness_2 import BOUNDS, TROUBLE, main, route

# Python, Java and JavaScript print 10 / 3 as 3.3333333333333335.
LIMIT = 10 / 3
WINDOW_S = 4.0
REQUESTS_EVERY_S = 0.05
LENGTH_S = 20.0
# From this time after the start, the server is in need.
NEED_AT_S = 4.0


async def case(deployment):
    deployment.write_configuration(1, route("browse", "/browse/", "calendar"))
    await deployment.start(["calendar", "avansuri", "avansuri"], slots=60)
    server = deployment.servers[0]
    arrivals, machines = [], {}
    # Times at which a machine passed on the first answer with the limit, by machine.
    passed_on_s = {}
    began_s = time.monotonic()

    busy_until_s, unserved = [0.0], []

    async def on_run(server, writer, attempt, target, headers, body):
        """Work at the limit while in need: requests wait their turn, up to their deadlines."""
        now_s = time.monotonic()
        arrivals.append((now_s, machines[target]))
        if not server.headers:
            return None
        left_s = int(headers["basilhill-deadline-ms"]) / 1000
        turn_s = max(now_s, busy_until_s[0]) + 1 / LIMIT
        if turn_s - now_s <= left_s:
            busy_until_s[0] = turn_s
            await asyncio.sleep(turn_s - now_s)
            return None
        await asyncio.sleep(left_s)
        unserved.append(attempt)
        writer.write(server.response(attempt, target, 504))
        await writer.drain()
        return True

    server.on_run = on_run

    async def send(number):
        node = random.choice(deployment.nodes)
        target = f"/browse/{number}"
        machines[target] = node.number
        attempt, answer = await deployment.send(node, target)
        if answer is not None and "server-limit" in answer.headers:
            passed_on_s.setdefault(node.number, time.monotonic())

    tasks, named_s = [], None
    while time.monotonic() - began_s < LENGTH_S:
        if TROUBLE and named_s is None and time.monotonic() - began_s >= NEED_AT_S:
            server.headers = {"Server-Limit": repr(LIMIT)}
            named_s = time.monotonic()
            deployment.log("in need", server=server.id, limit=repr(LIMIT))
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(REQUESTS_EVERY_S)
    await asyncio.gather(*tasks)
    if not passed_on_s:
        print(f"{len(arrivals)} requests, no limit was named")
        return []
    first_s = min(passed_on_s.values())
    # The rule counts from `contactS` after the limit was first named, and only the requests of
    # machines that had passed on such an answer half a second before or earlier.
    counted = sorted(
        at_s
        for at_s, machine in arrivals
        if at_s >= first_s + BOUNDS["contactS"]
        and at_s >= passed_on_s.get(machine, float("inf")) + 0.5
    )
    most = max(
        (sum(at_s <= one < at_s + WINDOW_S for one in counted) for at_s in counted), default=0
    )
    allowed = 1.5 * LIMIT * WINDOW_S + 5
    deployment.log("result", most=most, allowed=allowed, too_late=len(unserved))
    print(
        f"{most} requests in {WINDOW_S} s, allowed are {allowed:.1f};"
        f" {len(unserved)} that reached the server in need were too late"
    )
    return [f"{most} requests in {WINDOW_S} s, allowed are {allowed:.1f}"] if most > allowed else []


main(case, Path(__file__).with_name("record.txt"))
