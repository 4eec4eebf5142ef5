"""Small fleet of sidecar nodes in one process, with test doubles of servers and store."""

import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
from itertools import count
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field
from basilhill.clocks import SystemClock
from basilhill.credits import QuotaBounds
from basilhill_node.platform.decoder import PlatformDecoder
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.platform.store import PlatformStore
from basilhill_node.sidecar.node import Sidecar, build_sidecar, close_sidecar, start_sidecar
from basilhill_node.sidecar.state import SidecarSettings

from basilhill_fakes.plain_server import ATTEMPT_ID, PlainServer, build_server
from basilhill_fakes.platform_store import PlatformStoreState, build_store
from basilhill_fakes.stream_server import StreamHandler, serve_streams

CLIENT_PORT, PEER_PORT, READY_PORT, METRICS_PORT, SERVER_PORT = 8304, 8300, 8302, 9464, 8301
STORE_PORT = 8309
HOST = "shop.example"
POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 5.0


def build_route(name: str, prefix: str, service: str, **changes) -> dict:
    """Return a route in the format of the platform."""
    route = {
        "name": name,
        "prefix": prefix,
        "kind": "idempotent",
        "timeoutS": 2,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }
    return route | changes


def build_tenant(name: str, *keys: str, **changes) -> dict:
    """Return a tenant in the format of the platform, without a limit."""
    return {"name": name, "apiKeys": list(keys), "priority": 1} | changes


def build_configuration(version: int, *paths: dict, tenants: Iterable[dict] = ()) -> dict:
    """Return a configuration in the format of the platform."""
    services = sorted({route["service"] for route in paths if "service" in route})
    configuration = {
        "version": f"{version:08x}",
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 500} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "virtualHosts": [{"host": HOST, "paths": list(paths)}],
    }
    return configuration | ({"tenants": list(tenants)} if tenants else {})


@define(eq=False)
class SidecarVm:
    """VM with its address, backend server and node."""

    address: str
    data_centre: str
    server: PlainServer
    node: Sidecar | None = None
    runner: web.AppRunner | None = None

    def entry(self, **changes) -> dict:
        """Return the entry with which the server registers itself."""
        table = {
            "service": self.server.service,
            "address": f"{self.address}:{SERVER_PORT}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingS": 0,
            "sequence": 1,
            "born": 1,
        }
        return table | changes


@define(eq=False)
class SidecarFleet:
    """Nodes, backend servers and the store on loopback addresses."""

    prefix: str = field(factory=lambda: "127.{}.{}".format(*Random().choices(range(70, 250), k=2)))
    store: PlatformStoreState = field(factory=PlatformStoreState)
    vms: list[SidecarVm] = field(factory=list)
    ids: count = field(factory=lambda: count(1))
    exit_stack: AsyncExitStack = field(factory=AsyncExitStack)
    session: aiohttp.ClientSession | None = None
    # Requests that a test leaves in flight; cancelled when the fleet is closed.
    tasks: list[asyncio.Task] = field(factory=list)

    async def __aenter__(self) -> "SidecarFleet":
        """Start the store."""
        self.session = aiohttp.ClientSession()
        self.exit_stack.push_async_callback(self.session.close)
        await self.serve(build_store(self.store), f"{self.prefix}.250", STORE_PORT)
        return self

    async def __aexit__(self, *_error) -> None:
        """Cancel the open requests, close the nodes and stop all servers."""
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            self.stop_node(vm)
        await self.exit_stack.aclose()

    async def serve(self, app: web.Application, address: str, port: int) -> web.AppRunner:
        """Serve an application until the fleet is closed."""
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, address, port).start()
        self.exit_stack.push_async_callback(runner.cleanup)
        return runner

    async def add_vm(self, service: str, data_centre: str = "a", **changes) -> SidecarVm:
        """Start a VM with a backend server and a node, and register the server."""
        number = len(self.vms) + 1
        server = PlainServer(f"i-{number}", service, session=self.session)
        vm = SidecarVm(f"{self.prefix}.{number}", data_centre, server)
        self.vms.append(vm)
        vm.runner = await self.serve(build_server(server), vm.address, SERVER_PORT)
        self.register(vm, **changes)
        await self.start_node(vm)
        return vm

    async def replace_server(self, vm: SidecarVm, handle: StreamHandler) -> None:
        """Serve the connections to the backend server of a VM with a handler of byte streams."""
        await vm.runner.cleanup()
        await self.exit_stack.enter_async_context(serve_streams(handle, vm.address, SERVER_PORT))

    def register(self, vm: SidecarVm, **changes) -> None:
        """Write the entry of a server into the store."""
        self.store.put(f"servers/{vm.server.server_id}", vm.entry(**changes))

    async def start_node(self, vm: SidecarVm) -> None:
        settings = self.settings(vm)
        clock = SystemClock()
        store = PlatformStore.at(settings.store_address, clock)
        vm.node = build_sidecar(settings, store, PlatformDecoder(), PlatformDialect(), clock)
        await start_sidecar(vm.node)

    def stop_node(self, vm: SidecarVm) -> None:
        """Close the node of a VM without a grace period."""
        if vm.node is not None:
            close_sidecar(vm.node)
            vm.node = None

    def settings(self, vm: SidecarVm) -> SidecarSettings:
        return SidecarSettings(
            node=f"node-{vm.address}",
            address=vm.address,
            data_centre=vm.data_centre,
            service=vm.server.service,
            backend_address=f"{vm.address}:{SERVER_PORT}",
            client_port=CLIENT_PORT,
            peer_port=PEER_PORT,
            ready_port=READY_PORT,
            metrics_port=METRICS_PORT,
            store_address=f"{self.prefix}.250:{STORE_PORT}",
            grace_ms=6_000,
            retry_ratio=0.2,
            retry_window_ms=10_000,
            retry_minimum=48,
            quota_bounds=QuotaBounds(5_000, 0.25, 20.0),
        )

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds; TimeoutError after WAIT_TIMEOUT_S."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 - nodes have no event to wait for
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_converged(self, version: int) -> None:
        """Wait until all nodes have activated a version and know all registered servers."""
        nodes = [vm.node for vm in self.vms if vm.node is not None]
        listed = sum(key.startswith("servers/") for key in self.store.items)
        await self.wait_until(
            lambda: all(
                node.state.active_configuration.version >= version
                and len(node.state.directory.entries) == listed
                for node in nodes
            )
        )

    async def send_attempt(
        self, vm: SidecarVm, path: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> "ClientAnswer":
        """Send one client attempt to the node of a VM; return its response."""
        attempt = headers.pop("attempt", f"attempt{next(self.ids)}")
        sent = {"Host": HOST, ATTEMPT_ID: attempt, "Basilhill-Deadline-Ms": "2000"} | headers
        url = f"http://{vm.address}:{CLIENT_PORT}{path}"
        async with self.session.request(method, url, headers=sent, data=body or None) as response:
            text = await response.read()
            received = {name.lower(): value for name, value in response.headers.items()}
            return ClientAnswer(attempt, response.status, received, text)


@define(frozen=True)
class ClientAnswer:
    """Response that a client received for one attempt."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
