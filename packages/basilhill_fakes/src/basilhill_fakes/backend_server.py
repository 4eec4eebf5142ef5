"""Test double of a backend server."""

import asyncio
import os
import sys
import zlib
from pathlib import Path

import aiohttp
import orjson
import uvloop
from aiohttp import web
from attrs import define, field, frozen

from basilhill_fakes.history import Event, EventKind, HistoryWriter, now_ms
from basilhill_fakes.topology import BACKEND_PORT, CLIENT_PORT
from basilhill_fakes.workloads import WORKLOADS, FakeCall, Workload, find_fake_call

CONTEXT = "Basilhill-Context"
TIMEOUT = "Basilhill-Timeout-Ms"
CALL_NUMBER = "Basilhill-Call-Number"
ORDER = "X-Order"
ROUND = "X-Token-Round"
DIRECT_ATTEMPTS = 3
DEFAULT_TIMEOUT_MS = 3000
# Time between the two responses of a pair of runs whose order is reversed.
RESPONSE_DELAY_S = 0.05


@define(eq=False)
class BackendState:
    """Identity, counters and injected faults of a backend server."""

    address: str
    service: str
    workload: Workload
    history: HistoryWriter
    session: aiohttp.ClientSession
    peers: dict[str, list[str]] = field(factory=dict)
    direct: bool = False
    in_flight: int = 0
    slow_factor: float = 1.0
    draining: bool = False
    lying_health: bool = False
    crash_order: str = ""
    truncate_order: str = ""
    failing: bool = False
    # `reverse_answers` delays the first response of each pair of runs until the second one has been
    # sent; `swap_answers` also exchanges the order and round in the two responses.
    reverse_answers: bool = False
    swap_answers: bool = False
    held: "DelayedResponse | None" = None
    queue_limit: int | None = None
    waiting: int = 0
    slots: asyncio.Semaphore = field(factory=lambda: asyncio.Semaphore(1))


def build_backend(state: BackendState) -> web.Application:
    """Return the application that serves the calls and the test interface."""
    app = web.Application()

    async def health(_request: web.Request) -> web.Response:
        if state.lying_health:
            return web.json_response({"state": "live", "in_flight": 0})
        drained = "draining" if state.draining else "live"
        return web.json_response({"state": drained, "in_flight": state.in_flight})

    async def put_faults(request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(state, name, value)
        return web.Response()

    async def counters(_request: web.Request) -> web.Response:
        return web.json_response({"in_flight": state.in_flight})

    app.router.add_get("/health", health)
    app.router.add_put("/test/faults", put_faults)
    app.router.add_get("/test/counters", counters)
    for name, call in state.workload.services[state.service].calls.items():
        app.router.add_route(call.method, call.path, build_handler(state, name, call))
    return app


@define(eq=False)
class DelayedResponse:
    """Response that is delayed until the response of another run has been sent."""

    run: "Run"
    other: asyncio.Future["Run"] = field(factory=lambda: asyncio.get_running_loop().create_future())


@frozen
class Run:
    """Request that a backend server runs, with its call and order."""

    name: str
    call: FakeCall
    request: web.Request
    order: str
    round: int

    def headers(self) -> dict[str, str]:
        """Return the headers that relate internal calls to the caller's request in histories."""
        return {ORDER: self.order, ROUND: str(self.round)}

    def remaining_ms(self) -> int:
        """Return the remaining time of the call as sent by the caller, in milliseconds."""
        return int(self.request.headers.get(TIMEOUT, DEFAULT_TIMEOUT_MS))


def build_handler(state: BackendState, name: str, call: FakeCall):

    async def handle(request: web.Request) -> web.StreamResponse:
        headers = request.headers
        run = Run(name, call, request, headers.get(ORDER, ""), int(headers.get(ROUND, "0")))
        if run.order and run.order == state.crash_order:
            record_event(state, EventKind.RUN_STARTED, run)
            os._exit(1)
        if state.queue_limit is not None and state.waiting >= state.queue_limit:
            return web.Response(status=503)
        state.waiting += 1
        try:
            await state.slots.acquire()
        finally:
            state.waiting -= 1
        try:
            return await occupy_slot(state, run)
        finally:
            state.slots.release()

    return handle


async def occupy_slot(state: BackendState, run: Run) -> web.StreamResponse:
    """Run a call with its internal calls and send the response."""
    state.in_flight += 1
    record_event(state, EventKind.RUN_STARTED, run)
    started_ms, status = now_ms(), 0
    try:
        await asyncio.sleep(run.call.service_ms * state.slow_factor / 1000)
        status = 500 if state.failing else await run_internal_calls(state, run)
        return await respond(state, run, status)
    finally:
        state.in_flight -= 1
        duration_ms = now_ms() - started_ms
        record_event(state, EventKind.RUN_ENDED, run, status=status, duration_ms=duration_ms)


def record_event(state: BackendState, kind: EventKind, run: Run, **fields) -> None:
    name = f"{state.service}.{run.name}"
    idempotent = run.call.idempotent
    event = Event(
        now_ms(), kind, state.address, name, run.order, idempotent, round=run.round, **fields
    )
    state.history.write(event)


async def respond(state: BackendState, run: Run, status: int) -> web.StreamResponse:
    """Send a response with the order; injected faults truncate, delay or exchange it."""
    identified = run
    if state.reverse_answers:
        other = await wait_in_reverse(state, run)
        identified = other if state.swap_answers else run
    content = {
        "order": identified.order,
        "round": identified.round,
        "call": f"{state.service}.{run.name}",
    }
    body = orjson.dumps({**content, "filler": "x" * 500})
    if run.order and run.order == state.truncate_order:
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(run.request)
        await response.write(body[:100])
        run.request.transport.close()
        return response
    return web.Response(body=body, status=status, content_type="application/json")


async def wait_in_reverse(state: BackendState, run: Run) -> Run:
    """Return the run that this one is paired with; the first run of a pair responds last."""
    if state.held is None:
        state.held = delayed = DelayedResponse(run)
        other = await delayed.other
        await asyncio.sleep(RESPONSE_DELAY_S)
        return other
    delayed, state.held = state.held, None
    delayed.other.set_result(run)
    return delayed.run


async def run_internal_calls(state: BackendState, run: Run) -> int:
    """Make the internal calls of a call; return the status of the response."""
    for number, full_name in enumerate(run.call.calls):
        internal_call = find_fake_call(state.workload, full_name)
        service = full_name.split(".")[0]
        if state.direct:
            status = await call_directly(state, run, service, internal_call)
        else:
            status = await call_through_node(state, run, service, internal_call, number)
        if status != 200:
            return 503
    return 200


async def call_through_node(
    state: BackendState, run: Run, service: str, internal_call: FakeCall, number: int
) -> int:
    """Make an internal call through the local node."""
    context = run.request.headers.get(CONTEXT, "")
    headers = {**run.headers(), CONTEXT: context, CALL_NUMBER: str(number)}
    url = f"http://{state.address}:{CLIENT_PORT}/{service}{internal_call.path}"
    return await send_request(state, internal_call.method, url, headers, run.remaining_ms())


async def call_directly(
    state: BackendState, run: Run, service: str, internal_call: FakeCall
) -> int:
    """Make an internal call directly to a server, with plain client retries."""
    status = 0
    servers = state.peers[service]
    first = zlib.crc32(run.order.encode())
    for attempt in range(DIRECT_ATTEMPTS):
        address = servers[(first + attempt) % len(servers)]
        url = f"http://{address}:{BACKEND_PORT}{internal_call.path}"
        status = await send_request(
            state, internal_call.method, url, run.headers(), run.remaining_ms()
        )
        if status == 200:
            return status
    return status


async def send_request(
    state: BackendState, method: str, url: str, headers: dict[str, str], timeout_ms: int
) -> int:
    """Send a request; return its status, 0 without a response."""
    try:
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        async with state.session.request(method, url, headers=headers, timeout=timeout) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def serve(options: dict) -> None:
    """Serve until cancelled."""
    history = HistoryWriter(Path(options["history"]))
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    workload = WORKLOADS[options["workload"]]
    state = BackendState(options["address"], options["service"], workload, history, session)
    state.peers = options["peers"]
    state.direct = options["direct"]
    state.queue_limit = options.get("queue_limit")
    state.slots = asyncio.Semaphore(workload.services[state.service].slots)
    runner = web.AppRunner(build_backend(state), access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, state.address, BACKEND_PORT).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(orjson.loads(sys.argv[1])))
