"""Test double of the platform: configuration service and fleet list."""

import asyncio
import sys

import orjson
import uvloop
from aiohttp import web
from attrs import define, field

from basilhill_fakes.topology import PLATFORM_PORT

WATCH_TIMEOUT_S = 20.0


@define(eq=False)
class PlatformState:
    """Document revisions, fleet list and injected faults of the platform."""

    revisions: list[str] = field(factory=list)
    vms: list[dict] = field(factory=list)
    fleet_lag_ms: int = 0
    down: bool = False
    stale_revision: int = 0
    reads: int = 0
    changed: asyncio.Event = field(factory=asyncio.Event)


def build_platform(state: PlatformState) -> web.Application:
    """Return the application that serves the nodes and the test interface."""
    app = web.Application(client_max_size=2_000_000)

    async def configuration(request: web.Request) -> web.Response:
        state.reads += 1
        if state.down:
            return web.Response(status=503)
        if state.stale_revision:
            return document(state.stale_revision)
        after = int(request.query.get("after", "-1"))
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                while len(state.revisions) <= after:
                    await state.changed.wait()
        except TimeoutError:
            pass
        return web.Response(status=503) if state.down else document(len(state.revisions))

    def document(number: int) -> web.Response:
        return web.Response(text=state.revisions[number - 1], headers={"X-Revision": str(number)})

    async def fleet(_request: web.Request) -> web.Response:
        state.reads += 1
        if state.down:
            return web.Response(status=503)
        return web.json_response({"vms": state.vms})

    async def put_document(request: web.Request) -> web.Response:
        state.revisions.append(await request.text())
        state.changed.set()
        state.changed = asyncio.Event()
        return web.json_response({"revision": len(state.revisions)})

    async def put_fleet(request: web.Request) -> web.Response:
        vms = await request.json()
        loop = asyncio.get_running_loop()
        loop.call_later(state.fleet_lag_ms / 1000, setattr, state, "vms", vms)
        return web.Response()

    async def put_faults(request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(state, name, value)
        return web.Response()

    async def counters(_request: web.Request) -> web.Response:
        return web.json_response({"reads": state.reads})

    app.router.add_get("/configuration", configuration)
    app.router.add_get("/fleet", fleet)
    app.router.add_put("/test/document", put_document)
    app.router.add_put("/test/fleet", put_fleet)
    app.router.add_put("/test/faults", put_faults)
    app.router.add_get("/test/counters", counters)
    return app


async def serve(address: str) -> None:
    """Serve until cancelled."""
    runner = web.AppRunner(build_platform(PlatformState()), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, PLATFORM_PORT).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(orjson.loads(sys.argv[1])["address"]))
