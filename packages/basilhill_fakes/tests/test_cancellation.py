"""Tests of cancellation through a chain of three nodes.

All work ends within `CANCEL_S` after its caller has disconnected, responded or timed out.
"""

import asyncio
import time

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from attrs import define, field
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.topology import BACKEND_PORT
from basilhill_fakes.workloads import WORKLOADS

pytestmark = pytest.mark.asyncio(loop_scope="module")

CHAIN = ("calendar", "flavours", "deposits")
SERVICE = """
[team.{name}.service.{name}]
slots = 5
connections = 50
[team.{name}.service.{name}.call.run]
method = "GET"
path = "/run"
idempotent = true
timeout_ms = {timeout_ms}
calls = {calls}
"""
ACTION = """
[team.calendar.action.run]
entry = "calendar.run"
class = "browse"
timeout_ms = 9000
"""
CANCEL_S = 0.5


@define(eq=False)
class Chain:
    """Backend servers of the chain, each of which calls the next one."""

    fleet: object
    responds_early: bool = False
    last_call_started: asyncio.Event = field(factory=asyncio.Event)
    ended: dict[str, float] = field(factory=dict)
    runners: list[web.AppRunner] = field(factory=list)

    async def start(self, session) -> None:
        for depth, service in enumerate(CHAIN):
            vm = self.fleet.topology.servers_of(service)[0]
            app = web.Application()
            app.router.add_get("/health", self.health)
            app.router.add_get("/run", self.handler(session, vm, depth))
            # By default aiohttp does not cancel a handler when its connection closes.
            runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
            await runner.setup()
            await web.TCPSite(runner, vm.address, BACKEND_PORT).start()
            self.runners.append(runner)

    async def health(self, _request):
        return web.json_response({"state": "live"})

    def handler(self, session, vm, depth):
        async def run(request):
            try:
                if depth == len(CHAIN) - 1:
                    self.last_call_started.set()
                    await asyncio.sleep(60)
                    return web.Response()
                url = f"{vm.client_url}/{CHAIN[depth + 1]}/run"
                context = {"Basilhill-Context": request.headers["Basilhill-Context"]}
                inner = asyncio.create_task(self.fetch(session, url, context))
                if depth == 0 and self.responds_early:
                    await self.last_call_started.wait()
                    return web.Response(text="early")
                await inner
                return web.Response()
            finally:
                self.ended[CHAIN[depth]] = time.monotonic()

        return run

    async def fetch(self, session, url, headers):
        async with session.get(url, headers=headers) as response:
            return await response.read()


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def chain(tmp_path_factory):
    workload = WORKLOADS["degustari"]
    counts = {service: int(service in CHAIN) for service in workload.services}
    fleet = new_fleet(workload, tmp_path_factory.mktemp("fleet"), counts=counts)
    fleet.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    chain = Chain(fleet)
    document = ACTION
    for name, called in zip(CHAIN, (*CHAIN[1:], ""), strict=True):
        timeout_ms = 9_000 if name == "calendar" else 8_000
        calls = f'["{called}.run"]' if called else "[]"
        document += SERVICE.format(name=name, timeout_ms=timeout_ms, calls=calls)
    try:
        await fleet.start_program(
            "platform", "platform", {"address": fleet.topology.platform_address}
        )
        await fleet.wait_until_ok(f"{fleet.topology.platform_url}/test/counters")
        await fleet.publish_document(document)
        await fleet.publish_fleet()
        await chain.start(fleet.session)
        await asyncio.gather(*(fleet.start_node(vm) for vm in fleet.topology.vms))
        yield chain
    finally:
        for runner in chain.runners:
            await runner.cleanup()
        await fleet.stop()


async def start_action(chain, responds_early=False, timeout_ms=9_000):
    """Start a customer action and wait until the last call of the chain runs."""
    chain.responds_early, chain.ended = responds_early, {}
    chain.last_call_started.clear()
    url = f"{chain.fleet.topology.servers_of('calendar')[0].client_url}/calendar/run"
    headers = {"Basilhill-Timeout-Ms": str(timeout_ms)}
    action = asyncio.create_task(chain.fetch(chain.fleet.session, url, headers))
    async with asyncio.timeout(5):
        await chain.last_call_started.wait()
    return action


async def assert_chain_ends(chain):
    """Assert that all handlers ended and that no node has an open call or an occupied slot."""
    await asyncio.sleep(CANCEL_S)
    assert chain.ended.keys() == set(CHAIN)
    for vm in chain.fleet.topology.vms:
        status = await chain.fleet.get(f"{vm.administration_url}/status")
        assert (status["in_flight"], status["open_calls"], status["queued"]) == (0, 0, 0)


async def test_caller_disconnect_cancels_the_whole_chain(chain):
    """Guard against work for disconnected callers, which fills servers under overload."""
    action = await start_action(chain)
    action.cancel()
    await assert_chain_ends(chain)


async def test_parent_response_cancels_its_running_internal_calls(chain):
    """Guard against internal calls that continue after their parent call has responded."""
    action = await start_action(chain, responds_early=True)
    assert await action == b"early"
    await assert_chain_ends(chain)


async def test_deadline_of_the_parent_cancels_the_whole_chain(chain):
    """Guard against work after the deadline of the customer action."""
    action = await start_action(chain, timeout_ms=1_000)
    started = time.monotonic()
    await action
    assert time.monotonic() - started < 1.5
    await assert_chain_ends(chain)


async def test_repeated_cancellation_leaks_no_slot(chain):
    """Guard against a slot that stays occupied after a cancelled call (5 slots, 20 calls)."""
    for _ in range(20):
        action = await start_action(chain)
        action.cancel()
        await asyncio.sleep(0.05)
    await assert_chain_ends(chain)
