"""A server that fails part of its requests after it has run them."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness_2 import TROUBLE, main, route

SERVERS = 7
# One of seven servers fails four tenths of its requests: `srv_grey` with its usual share and dose.
FAILING_SHARE = 0.4
FAILED_STATUS = 503
PAYMENTS = 900
PAYMENTS_AT_ONCE = 12
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


async def case(deployment):
    pay = route("pay", "/pay/", "avansuri", kind="non_idempotent", attempts=1)
    deployment.write_configuration(1, pay)
    await deployment.start(["avansuri"] * SERVERS)
    runs, broken, charges = {}, [], {}

    async def on_run(server, writer, attempt, target, headers, body):
        runs[attempt] = server.id
        charges[target] = charges.get(target, 0) + 1
        if not TROUBLE or server is not deployment.servers[0] or random.random() >= FAILING_SHARE:
            return None
        await asyncio.sleep(server.run_s)
        deployment.log("failed after its run", server=server.id, attempt=attempt)
        writer.write(server.response(attempt, target, FAILED_STATUS))
        await writer.drain()
        return True

    for server in deployment.servers:
        server.on_run = on_run

    async def pay_once(number):
        """Pay; after a promise that the payment has not run, send it again, as clients do."""
        for _ in range(2):
            node = random.choice(deployment.nodes)
            attempt, answer = await deployment.send(node, f"/pay/{number}", "POST", b"deposit")
            if answer is None or answer.status not in PROMISES:
                return
            if attempt in runs:
                broken.append(f"{attempt} ran at {runs[attempt]} and was answered {answer.status}")

    async def customer(first):
        for number in range(first, PAYMENTS, PAYMENTS_AT_ONCE):
            await pay_once(number)

    await asyncio.gather(*(customer(first) for first in range(PAYMENTS_AT_ONCE)))
    twice = [target for target, count in charges.items() if count > 1]
    deployment.log("result", broken=len(broken), charged_twice=len(twice))
    print(f"{len(broken)} false promises, {len(twice)} of {PAYMENTS} deposits charged twice")
    return broken[:5]


main(case, Path(__file__).with_name("record.txt"))
