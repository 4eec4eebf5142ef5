"""Test double of a backend server of the sidecar platform, with injectable faults."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from attrs import define, field

ATTEMPT_ID = "Basilhill-Attempt-Id"
SIGNATURE = "Basilhill-Response-Signature"
TENANT = "Basilhill-Tenant"
MAX_BODY_BYTES = 64 << 20


@define(eq=False)
class PlainServer:
    """Backend server that counts the runs of each request and signs its responses."""

    server_id: str
    service: str
    run_ms: int = 5
    # HTTP status of the responses to requests that ran.
    status: int = 200
    rejects: bool = False
    # Number of times that each request is rejected before it runs.
    rejections_before_run: int = 0
    resets: bool = False
    draining: bool = False
    # Values of the headers with which the server names its limit, and whether it says it leaves.
    limits: tuple[str, ...] = ()
    says_leaving: bool = False
    # Times of arrivals, in seconds of the event loop.
    arrived_s: list[float] = field(factory=list)
    # Node address, Host header and path of the internal call that each run makes through that node.
    calls: tuple[str, str, str] | None = None
    session: object | None = None
    # Makes the internal call of a run instead; returns whether it succeeded.
    call: Callable[[str], Awaitable[bool]] | None = None
    running: int = 0
    max_running: int = 0
    arrivals: Counter[str] = field(factory=Counter)
    runs: Counter[str] = field(factory=Counter)
    headers: list[dict[str, str]] = field(factory=list)
    cancelled: int = 0
    # Callback for the arrival of each request for this server, with the attempt id and path.
    reached: Callable[[str, str], None] = field(default=lambda *_request: None)
    # Callback for the start of each run, with the attempt id, path and body of the request.
    started: Callable[[str, str, bytes], None] = field(default=lambda *_request: None)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle one request, and state the limit and the leaving of the server."""
        response = await self.run(request)
        for limit in self.limits:
            response.headers.add("Server-Limit", limit)
        if self.says_leaving:
            response.headers["Server-Leaving"] = "1"
        return response

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run one request; reject it if addressed to another server or by an injected fault."""
        attempt = request.headers[ATTEMPT_ID]
        echo = {ATTEMPT_ID: attempt}
        # A new incarnation may begin while the request runs.
        server_id = self.server_id
        self.arrivals[attempt] += 1
        self.arrived_s.append(asyncio.get_running_loop().time())
        self.headers.append(dict(request.headers))
        if request.headers.get("Basilhill-Target-Instance") != self.server_id:
            return web.Response(status=421, headers=echo | {"Basilhill-Instance-Id": "i-other"})
        self.reached(attempt, request.path_qs)
        if self.rejects or self.arrivals[attempt] <= self.rejections_before_run:
            return web.Response(status=503, headers=echo | {"Basilhill-Not-Executed": "1"})
        self.runs[attempt] += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            body = await request.read()
            self.started(attempt, request.path_qs, body)
            await asyncio.sleep(self.run_ms / 1000)
            if not await self.make_call(attempt):
                return web.Response(status=500, headers=echo | {SIGNATURE: server_id})
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        if self.resets:
            request.transport.abort()
        headers = echo | {SIGNATURE: f"{server_id}.{attempt}"}
        text = f"{request.method} {request.path_qs} ".encode() + body
        return web.Response(status=self.status, body=text, headers=headers)

    def headers_of(self, attempt: str) -> dict[str, str]:
        """Return the headers of the newest arrival of an attempt, with names in lower case."""
        for headers in reversed(self.headers):
            lower = {name.lower(): value for name, value in headers.items()}
            if lower.get(ATTEMPT_ID.lower()) == attempt:
                return lower
        return {}

    async def make_call(self, attempt: str) -> bool:
        """Make the internal call of a run, if any; return whether it succeeded."""
        if self.call is not None:
            return await self.call(attempt)
        if self.calls is None:
            return True
        address, host, path = self.calls
        headers = {"Host": host, ATTEMPT_ID: f"{attempt}.1", "Basilhill-Deadline-Ms": "900"}
        async with self.session.get(f"http://{address}{path}", headers=headers) as response:
            return response.status == 200


def build_server(server: PlainServer) -> web.Application:
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_route("*", "/{path:.*}", server.handle)
    return app
