"""Node whose network tests can partition and delay."""

import sys

import orjson
import uvloop
from aiohttp import web
from attrs import define, field
from basilhill.settings import normalise_settings
from basilhill_node.logs import start_logging
from basilhill_node.node import run_node

from basilhill_fakes.topology import CONTROL_PORT


@define(eq=False, kw_only=True)
class FakeNetwork:
    """Network test double that partitions, delays and resets connections to peers."""

    partitioned: set[str] = field(factory=set)
    reset_peers: set[str] = field(factory=set)
    delays_ms: dict[str, float] = field(factory=dict)

    def is_reachable(self, node: str) -> bool:
        """Return whether messages to and from a peer pass.

        Raises ConnectionResetError if the streams to the peer are set to break.
        """
        if node in self.reset_peers:
            raise ConnectionResetError(node)
        return node not in self.partitioned

    def delay_ms(self, node: str) -> float:
        """Return the added one-way delay, in milliseconds."""
        return self.delays_ms.get(node, 0.0)


async def run(options: dict) -> None:
    """Run a node and the HTTP interface by which tests control its network."""
    settings = normalise_settings(options["settings"]).ok
    network = FakeNetwork(delays_ms=options["delays_ms"])
    app = web.Application()

    async def put_partition(request: web.Request) -> web.Response:
        network.partitioned = set(await request.json())
        return web.Response()

    async def put_resets(request: web.Request) -> web.Response:
        network.reset_peers = set(await request.json())
        return web.Response()

    app.router.add_put("/test/cut", put_partition)
    app.router.add_put("/test/broken", put_resets)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, settings.address, CONTROL_PORT).start()
    await run_node(settings, network=network)
    await runner.cleanup()


if __name__ == "__main__":
    start_logging()
    uvloop.run(run(orjson.loads(sys.argv[1])))
