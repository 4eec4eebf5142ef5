"""Fleet of node processes behind fault proxies, with backend servers and a store."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Iterable
from itertools import count
from pathlib import Path
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field
from basilhill.clocks import SystemClock

from basilhill_fakes.fault_proxy import FaultProxy
from basilhill_fakes.plain_server import (
    ATTEMPT_ID,
    SIGNATURE,
    TENANT,
    PlainServer,
    build_server,
)
from basilhill_fakes.platform_store import PlatformStoreState, StorePath, build_store
from basilhill_fakes.sidecar_fleet import HOST, build_configuration, build_route
from basilhill_fakes.simulated_fleet import QUOTA_BOUNDS
from basilhill_fakes.soak_records import Arrival, Attempt, Run, SoakHistory, Version

PEER_PORT, SERVER_PORT, READY_PORT, CLIENT_PORT, STORE_PORT = 8300, 8301, 8302, 8304, 8309
# Port of the backend server itself; its proxy listens on SERVER_PORT.
DIRECT_SERVER_PORT = 8311
GRACE_S = 4
SLOTS = 8
READS = build_route("r-read", "/read/", "calendar", attempts=3)
WRITES = build_route("r-write", "/write/", "deposits", kind="non_idempotent", priority=0)
MOVES = build_route("r-move", "/move/", "calendar", attempts=3)
DEADLINE_MS = 2_000
# Part of the runs whose server makes an internal call, and its longest time.
CALLING_SHARE = 0.3
CALL_DEADLINE_MS = 2_500
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05


def routes_by_prefix(routes: Iterable[dict]) -> dict[str, dict]:
    return {route["prefix"]: route for route in routes}


@define(eq=False)
class SoakVm:
    """VM: address of the node, address of its proxies for others, backend server and process."""

    number: int
    address: str
    outer_address: str
    # Address at which the store listens for this VM.
    store_address: str
    server: PlainServer
    settings_file: Path
    peer_link: FaultProxy
    server_link: FaultProxy
    store_path: StorePath = field(factory=StorePath)
    # Listener of the backend server.
    runner: web.AppRunner | None = None
    process: asyncio.subprocess.Process | None = None
    # Start of the server in Unix milliseconds, and the state that it wrote last.
    born: int = 0
    state: str = "ready"
    # Serializes the faults that stop, suspend or restart the process or replace its server.
    restart_lock: asyncio.Lock = field(factory=asyncio.Lock)
    # Serializes the ways in which its server leaves, which overlap with the faults of the node.
    server_lock: asyncio.Lock = field(factory=asyncio.Lock)

    @property
    def zone(self) -> str:
        """Return the data centre of the VM."""
        return "abc"[self.number % 3]


@define(eq=False)
class SoakFleet:
    """Node processes of a soak; signals go only to processes that the fleet started."""

    directory: Path
    random: Random
    history: SoakHistory = field(factory=SoakHistory)
    clock: SystemClock = field(factory=SystemClock)
    prefix: str = field(factory=lambda: "127.{}.{}".format(*Random().choices(range(70, 250), k=2)))
    store: PlatformStoreState = field(factory=PlatformStoreState)
    vms: list[SoakVm] = field(factory=list)
    runners: list[web.AppRunner] = field(factory=list)
    ids: count = field(factory=lambda: count(1))
    version: int = 0
    # Routes of the configuration by path prefix.
    routes: dict[str, dict] = field(default=(READS, WRITES, MOVES), converter=routes_by_prefix)
    # Tenants of the configuration by name.
    tenants: dict[str, dict] = field(factory=dict)
    # Limits of a process: memory in MB and open descriptors, those of the node without an entry.
    process_limits: dict[str, int] = field(factory=dict)
    server_type: type[PlainServer] = PlainServer
    # Time of a run at a backend server, its slots, and the longest time that clients wait.
    run_ms: int = 5
    slots: int = SLOTS
    deadline_ms: int = DEADLINE_MS
    # Path of the internal calls that the servers of a service make.
    calls: dict[str, str] = field(factory=dict)
    session: aiohttp.ClientSession | None = None
    stopping: bool = False
    # Whether proxies that can disturb it carry the traffic to nodes and backend servers.
    proxied: bool = True
    # Directories of the node program, for each VM in turn; empty for that of this checkout.
    node_paths: tuple[str, ...] = ()

    async def start(self, services: tuple[str, ...]) -> None:
        """Write the configuration and start a VM for each service; return once they are ready."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.write_configuration()
        for service in services:
            await self.add_vm(service)
        await asyncio.gather(*(self.start_node(vm) for vm in self.vms))
        await asyncio.gather(*(self.wait_ready(vm) for vm in self.vms))

    async def serve(self, app: web.Application, address: str, port: int) -> web.AppRunner:
        """Serve an application until the fleet is stopped."""
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, address, port).start()
        self.runners.append(runner)
        return runner

    def write_configuration(self) -> None:
        """Write the routes as a new version into the store."""
        self.version += 1
        routes = self.routes.values()
        tenants = self.tenants.values()
        self.store.put("op/config", build_configuration(self.version, *routes, tenants=tenants))
        services = {route["prefix"]: route["service"] for route in routes}
        keys = {key: tenant["name"] for tenant in tenants for key in tenant["apiKeys"]}
        quotas = {
            tenant["name"]: (tenant["ratePerS"], tenant["burst"])
            for tenant in tenants
            if tenant.get("ratePerS")
        }
        version = Version(self.version, services, self.clock.now_ms(), keys, quotas)
        self.history.versions.append(version)

    def change_route(self, prefix: str, **changes) -> None:
        """Write a version in which the route of a prefix has other values."""
        self.routes[prefix] = self.routes[prefix] | changes
        self.write_configuration()

    async def add_vm(self, service: str) -> None:
        """Start the server and the proxies of a new VM, and register the server."""
        number = len(self.vms) + 1
        address = f"{self.prefix}.{number}"
        outer = f"{self.prefix}.{number + 100}" if self.proxied else address
        server = self.server_type(f"i-{number}", service, run_ms=self.run_ms)
        server.started = self.build_run_recorder(server)
        server.reached = self.build_arrival_recorder(server, number)
        vm = SoakVm(
            number,
            address,
            outer,
            f"{self.prefix}.{number + 150}",
            server,
            self.directory / f"node-{number}.json",
            FaultProxy(address, PEER_PORT),
            FaultProxy(address, DIRECT_SERVER_PORT),
            born=self.clock.wall_ms(),
        )
        if service in self.calls:
            server.call = self.build_caller(vm, self.calls[service])
        self.vms.append(vm)
        await self.serve(build_store(self.store, vm.store_path), vm.store_address, STORE_PORT)
        port = DIRECT_SERVER_PORT if self.proxied else SERVER_PORT
        vm.runner = await self.serve(build_server(server), address, port)
        if self.proxied:
            await vm.peer_link.start(outer, PEER_PORT)
            await vm.server_link.start(outer, SERVER_PORT)
        self.register(vm, "ready")
        self.write_settings(vm, retry_ratio=0.2)

    def change_run_time(self, run_ms: int) -> None:
        """Change the time of later runs at all backend servers, also those that start later."""
        self.run_ms = run_ms
        for vm in self.vms:
            vm.server.run_ms = run_ms

    def build_run_recorder(self, server: PlainServer):
        """Return a callback that records the runs of a server."""

        def record(attempt_id: str, path: str, body: bytes) -> None:
            now_ms = self.clock.now_ms()
            headers = server.headers_of(attempt_id)
            run = Run(
                attempt_id,
                server.server_id,
                server.service,
                path,
                body,
                now_ms,
                headers.get(TENANT.lower(), ""),
                str(headers),
            )
            self.history.runs.append(run)

        return record

    def build_arrival_recorder(self, server: PlainServer, vm: int):
        """Return a callback that records the arrivals at a server."""

        def record(attempt_id: str, _path: str) -> None:
            now_ms = self.clock.now_ms()
            self.history.arrivals.append(Arrival(attempt_id, server.server_id, vm, now_ms))

        return record

    def build_caller(self, vm: SoakVm, path: str):
        """Return a callback that makes the internal call of a run through the node of its VM."""

        async def call(parent_id: str) -> bool:
            if "." in parent_id or self.random.random() > CALLING_SHARE:
                return True
            attempt = await self.send_attempt(self.session, vm, "GET", path, parent_id=parent_id)
            return attempt.status == 200

        return call

    def register(self, vm: SoakVm, state: str, slots: int | None = None) -> None:
        """Write the entry of a server into the store."""
        vm.state = state
        self.store.put(f"servers/{vm.server.server_id}", self.entry(vm, state, slots))

    def entry(self, vm: SoakVm, state: str, slots: int | None = None) -> dict:
        """Return the entry that a server writes."""
        return {
            "service": vm.server.service,
            "address": f"{vm.outer_address}:{SERVER_PORT}",
            "zone": vm.zone,
            "version": "v1",
            "slots": slots or self.slots,
            "state": state,
            "coldRemainingS": 0,
            "sequence": 1,
            "born": vm.born,
        }

    def write_settings(self, vm: SoakVm, retry_ratio: float, grace_s: float = GRACE_S) -> None:
        ports = {"inbound": PEER_PORT, "outbound": CLIENT_PORT, "ready": READY_PORT}
        bounds = {
            "graceS": grace_s,
            "retryBudgetRatio": retry_ratio,
            "budgetWindowS": 10,
            "budgetMinRetries": 48,
            "quotaWindowS": QUOTA_BOUNDS.window_ms / 1000,
            "quotaOverage": QUOTA_BOUNDS.overage,
            "quotaSlack": QUOTA_BOUNDS.slack,
        }
        settings = {
            "self": {
                "nodeName": f"node-{vm.number}",
                "ip": vm.address,
                "zone": vm.zone,
                "service": vm.server.service,
                "appAddr": f"{vm.outer_address}:{SERVER_PORT}",
                "limits": self.process_limits,
            },
            "network": {"listen": {name: f"{vm.address}:{port}" for name, port in ports.items()}},
            "platform": {"platform": {"address": f"{vm.store_address}:{STORE_PORT}"}},
            "terms": {"bounds": bounds},
        }
        vm.settings_file.write_text(json.dumps(settings))

    async def start_node(self, vm: SoakVm) -> None:
        """Start the node of a VM and append its output to a log file."""
        environment = os.environ | {"BASILHILL_CONFIG": str(vm.settings_file)}
        if self.node_paths:
            environment["PYTHONPATH"] = self.node_paths[vm.number % len(self.node_paths)]
        with (self.directory / f"node-{vm.number}.log").open("ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "basilhill_node.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, vm: SoakVm, number: signal.Signals) -> None:
        """Send a signal to the node of a VM if the process is running."""
        if vm.process.returncode is None:
            vm.process.send_signal(number)

    async def wait_ready(self, vm: SoakVm) -> None:
        """Wait until a node is ready; TimeoutError after READY_TIMEOUT_S."""
        url = f"http://{vm.address}:{READY_PORT}/basilhill/ready"
        async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    # The process does not listen on its port yet.
                    pass
                await asyncio.sleep(POLL_INTERVAL_S)

    async def send_attempt(
        self,
        session: aiohttp.ClientSession,
        vm: SoakVm,
        method: str,
        path: str,
        key: str = "",
        parent_id: str = "",
    ) -> Attempt:
        """Send one attempt of a client or backend server and record its response or failure."""
        number = next(self.ids)
        attempt_id = f"{parent_id}.{number}" if parent_id else f"a{number}"
        deadline_ms = CALL_DEADLINE_MS if parent_id else self.deadline_ms
        body = attempt_id.encode() * self.random.randint(1, 200) if method == "POST" else b""
        path = f"{path}{attempt_id}"
        sent_ms = self.clock.now_ms()
        idempotent = method == "GET"
        attempt = Attempt(attempt_id, vm.number, method, path, body, idempotent, sent_ms, key=key)
        self.history.attempts.append(attempt)
        headers = {"Host": HOST, ATTEMPT_ID: attempt_id, "Basilhill-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Token {key}"
        url = f"http://{vm.address}:{CLIENT_PORT}{path}"
        try:
            async with (
                asyncio.timeout(deadline_ms / 1000),
                session.request(method, url, headers=headers, data=body or None) as response,
            ):
                attempt.answer = await response.read()
                attempt.signature = response.headers.get(SIGNATURE, "")
                if "Server-Leaving" in response.headers:
                    attempt.leaving_server = attempt.signature.partition(".")[0]
                attempt.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Without a response, the node guarantees nothing about the execution of the request.
            if self.stopping:
                # The soak itself has cut the attempt.
                return attempt
        attempt.ended_ms = self.clock.now_ms()
        if not attempt.status and attempt.ended_ms - attempt.sent_ms >= deadline_ms:
            # Client timeout: only the recorded runs show whether the request was executed.
            attempt.status = 499
        return attempt

    async def stop(self) -> None:
        """Kill the nodes, and close the proxies, HTTP servers and connections."""
        self.stopping = True
        if self.session is not None:
            await self.session.close()
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
            vm.peer_link.close()
            vm.server_link.close()
        for runner in self.runners:
            await runner.cleanup()
