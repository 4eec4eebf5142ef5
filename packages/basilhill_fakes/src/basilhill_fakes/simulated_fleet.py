"""Fleet of real nodes on simulated time, network and store."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextvars import Context, copy_context
from functools import partial
from random import Random
from typing import TypeVar

import orjson
from attrs import define, field
from basilhill.credits import QuotaBounds
from basilhill_node.platform.decoder import PlatformDecoder
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.platform.store import (
    PROBE_TIMEOUT_S,
    READ_TIMEOUT_S,
    WATCH_MARGIN_S,
    decode_item,
)
from basilhill_node.sidecar.node import Sidecar, build_sidecar, close_sidecar, start_sidecar
from basilhill_node.sidecar.positions import StatedEra
from basilhill_node.sidecar.state import SidecarSettings
from basilhill_node.sidecar.store import (
    HistoryExpiredError,
    StoreEvents,
    StoreFailedError,
    StoreItems,
)

from basilhill_fakes.platform_store import PlatformStoreState, StoreCopy
from basilhill_fakes.sidecar_fleet import build_configuration, build_route
from basilhill_fakes.simulated_loop import HOST, SimulatedClock, SimulatedLoop
from basilhill_fakes.store_copies import write_lost_again

STORE_LATENCY_S = 0.004
READS = build_route("r-read", "/read/", "calendar")
QUOTA_BOUNDS = QuotaBounds(window_ms=5_000, overage=0.25, slack=20.0)

T = TypeVar("T")


@define(eq=False)
class StoreAccess:
    """Access of one host to the store, or of all hosts."""

    # Calls get no response; calls that wait when silence begins never get one.
    silent: bool = False
    refused: bool = False
    # Number of times that silence has begun.
    silences: int = 0
    # Time that requests and responses take in addition, as at a slow VM.
    delay_s: float = 0.0
    # Time that responses of the store take in addition.
    slow_s: float = 0.0
    # Share of the responses that are lost.
    lost_ratio: float = 0.0
    # Number of times that all connections were reset.
    resets: int = 0
    random: Random = field(factory=lambda: Random(0))

    @property
    def is_disturbed(self) -> bool:
        """Return whether any fault is present."""
        return bool(self.silent or self.refused or self.delay_s or self.slow_s or self.lost_ratio)

    def loses_response(self) -> bool:
        """Return whether the next response is lost."""
        return self.lost_ratio > 0 and self.random.random() < self.lost_ratio

    def silence(self) -> None:
        self.silent = True
        self.silences += 1

    def restore(self) -> None:
        """End all faults."""
        self.silent = self.refused = False
        self.delay_s = self.slow_s = self.lost_ratio = 0.0


@define(eq=False)
class SimulatedStore:
    """Store as one host sees it, with the timeouts of the platform's client."""

    state: PlatformStoreState
    paths: tuple[StoreAccess, ...]

    async def read(self) -> AsyncIterator[StoreItems]:
        """Yield all items in pages; raise StoreFailedError if the store is out of reach."""
        after = ""
        while True:
            keys, page = await self.call(partial(self.read_items, after), READ_TIMEOUT_S)
            yield page
            if len(keys) <= len(page.items):
                return
            after = page.items[-1].key

    async def probe(self) -> int:
        """Return the revision; raise StoreFailedError if the store is out of reach."""
        return await self.call(self.read_revision, PROBE_TIMEOUT_S)

    async def watch(self, after: int, wait_ms: int) -> StoreEvents:
        """Return the changes after a revision, or none if there are none within `wait_ms`."""
        wait_s = wait_ms / 1000
        return await self.call(partial(self.await_changes, after, wait_s), wait_s + WATCH_MARGIN_S)

    async def changes(self, after: int) -> StoreEvents:
        """Return the changes after a revision at once."""
        return await self.call(partial(self.await_changes, after, 0.0), PROBE_TIMEOUT_S)

    async def call(self, serve: Callable[[], Awaitable[T]], longest_s: float) -> T:
        """Return the response to a call, which the store serves also while the host is paused.

        The timeouts of a slow VM are late as well.
        """
        exchange = asyncio.get_running_loop().create_task(self.exchange(serve), context=Context())
        try:
            async with asyncio.timeout(longest_s + 2 * self.delay_s()):
                return await exchange
        except TimeoutError as error:
            raise StoreFailedError(f"store did not respond within {longest_s} s") from error

    async def exchange(self, serve: Callable[[], Awaitable[T]]) -> T:
        """Return the response of the store, unless it is lost on the way."""
        resets = self.resets()
        await asyncio.sleep(STORE_LATENCY_S + self.delay_s())
        if any(path.refused for path in self.paths):
            raise StoreFailedError("status 503")
        if any(path.silent for path in self.paths):
            await asyncio.Future()
        response = await serve()
        await asyncio.sleep(self.delay_s() + sum(path.slow_s for path in self.paths))
        if any(path.loses_response() for path in self.paths):
            await asyncio.Future()
        if resets != self.resets():
            raise StoreFailedError("the connection was reset")
        return response

    async def read_items(self, after: str) -> tuple[list[str], StoreItems]:
        """Return the keys after one, and the first page of their items."""
        items = self.state.items
        keys = sorted(key for key in items if key > after)
        page = tuple(decode_item(items[key]) for key in keys[: self.state.page_items])
        return keys, StoreItems(page, self.state.revision, StatedEra(self.state.era))

    async def read_revision(self) -> int:
        return self.state.stale_revision()

    async def await_changes(self, after: int, wait_s: float) -> StoreEvents:
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + max(0.0, wait_s - STORE_LATENCY_S)
        silences, resets, era = self.silences(), self.resets(), self.state.era
        while True:
            if not self.state.has_history(after, era):
                raise HistoryExpiredError(f"no history since revision {after}")
            events = [item for item in self.state.events if item["revision"] > after]
            left_s = ends_s - loop.time()
            if silences != self.silences():
                await asyncio.Future()
            if events or left_s <= 0 or resets != self.resets():
                changes = tuple(map(decode_item, events))
                return StoreEvents(changes, self.state.revision, StatedEra(self.state.era))
            changed = self.state.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def delay_s(self) -> float:
        return sum(path.delay_s for path in self.paths)

    def silences(self) -> int:
        return sum(path.silences for path in self.paths)

    def resets(self) -> int:
        return sum(path.resets for path in self.paths)


@define(eq=False)
class SimulatedVm:
    """VM with its node, its path to the store, and the time since which nothing disturbs it."""

    address: str
    data_centre: str
    path: StoreAccess = field(factory=StoreAccess)
    server_id: str = ""
    # Start of its server.
    born: int = 0
    node: Sidecar | None = None
    # Time of the last disturbance of the VM, in seconds.
    disturbed_s: float = 0.0
    # Start of its node, in seconds.
    started_s: float = 0.0


@define(eq=False)
class SimulatedFleet:
    """Nodes on a simulated loop, with the store that they read."""

    loop: SimulatedLoop
    random: Random
    store: PlatformStoreState = field(factory=PlatformStoreState)
    access: StoreAccess = field(factory=StoreAccess)
    vms: list[SimulatedVm] = field(factory=list)
    # Acknowledged versions with the time of their acknowledgement, in seconds.
    acknowledged: list[tuple[float, int]] = field(factory=list)
    # Ids of all servers that were registered.
    servers: list[str] = field(factory=list)
    # Servers that leave by id, with the time of the acknowledgement, in seconds.
    leaving: dict[str, float] = field(factory=dict)
    version: int = 0
    # Tenants of the next versions.
    tenants: tuple[dict, ...] = ()
    # Bytes of all versions.
    contents: dict[int, bytes] = field(factory=dict)
    # Time of the last disturbance of the store, in seconds.
    store_disturbed_s: float = 0.0
    # Keys that only copies of the store have, and when the store went away before the first copy.
    expiring: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Let the store use the simulated time."""
        self.store.now_s = self.loop.time

    def add_vm(self, data_centre: str) -> SimulatedVm:
        """Add a VM without a running node, and register its server."""
        number = len(self.vms) + 1
        vm = SimulatedVm(f"10.0.0.{number}", data_centre)
        self.vms.append(vm)
        self.start_server(vm)
        return vm

    def start_server(self, vm: SimulatedVm) -> None:
        """Register a new server on a VM."""
        vm.server_id = f"i-{len(self.servers) + 1}"
        self.servers.append(vm.server_id)
        vm.born = len(self.servers)
        self.register(vm, "ready")

    def register(self, vm: SimulatedVm, state: str) -> None:
        """Write the entry of the server on a VM to the store."""
        entry = {
            "service": "calendar",
            "address": f"{vm.address}:8301",
            "zone": vm.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldRemainingS": 0,
            "sequence": 1,
            "born": vm.born,
        }
        self.store.put(f"servers/{vm.server_id}", entry)

    def drain_server(self, vm: SimulatedVm) -> None:
        """Let the server of a VM report that it leaves."""
        self.register(vm, "draining")
        self.leaving[vm.server_id] = self.loop.time()

    def remove_server(self, vm: SimulatedVm) -> None:
        """Remove the entry of the server of a VM, which leaves without notice."""
        self.store.remove(f"servers/{vm.server_id}")
        self.leaving[vm.server_id] = self.loop.time()

    async def restore_store(self, copy: StoreCopy, away_s: float, random: Random) -> None:
        """Let the store come back from a copy after some time, with what is written again."""
        away_from_s = self.loop.time()
        if away_s:
            self.access.refused = True
            await asyncio.sleep(away_s)
            self.access.refused = False
        self.store.restore(copy)
        self.store_disturbed_s = self.loop.time()
        self.expiring = {key: self.expiring.get(key, away_from_s) for key in self.store.expiring}
        await write_lost_again(self.store, random)

    def change_configuration(self, *routes: dict) -> None:
        """Write the next version to the store, which acknowledges it at once."""
        self.version += 1
        routes = routes or (READS,)
        data = orjson.dumps(build_configuration(self.version, *routes, tenants=self.tenants))
        self.contents[self.version] = data
        self.store.put("op/config", data)
        self.acknowledged.append((self.loop.time(), self.version))

    async def start(self, vm: SimulatedVm) -> None:
        """Start the node of a VM in a context that has its host."""
        await self.loop.create_task(self.start_node(vm), context=copy_context())

    async def start_node(self, vm: SimulatedVm) -> None:
        HOST.set(vm.address)
        store = SimulatedStore(self.store, (self.access, vm.path))
        clock = SimulatedClock(self.loop)
        vm.node = build_sidecar(
            node_settings(vm), store, PlatformDecoder(), PlatformDialect(), clock
        )
        vm.node.follower.random = Random(self.random.random())
        vm.disturbed_s = vm.started_s = self.loop.time()
        await start_sidecar(vm.node)

    def kill(self, vm: SimulatedVm) -> None:
        """End the process of a node without notice."""
        if vm.node is not None:
            self.loop.network.reset(vm.address)
            close_sidecar(vm.node)
            vm.node = None
            self.loop.resume(vm.address)

    def reset_store_connections(self, access: StoreAccess) -> None:
        """Cut the watches of one host, or of all hosts."""
        access.resets += 1
        self.store.notify_watches(None)

    def cut(self, vm: SimulatedVm) -> None:
        """Cut a VM off from all other nodes."""
        for other in self.vms:
            if other is not vm:
                self.loop.network.cut.add(frozenset((vm.address, other.address)))

    def reconnect(self, vm: SimulatedVm) -> None:
        """End the cuts of a VM."""
        self.loop.network.cut = {pair for pair in self.loop.network.cut if vm.address not in pair}

    def stop(self) -> None:
        for vm in self.vms:
            self.kill(vm)


def node_settings(vm: SimulatedVm) -> SidecarSettings:
    return SidecarSettings(
        node=f"node-{vm.address}",
        address=vm.address,
        data_centre=vm.data_centre,
        service="calendar",
        backend_address=f"{vm.address}:8301",
        client_port=8304,
        peer_port=8300,
        ready_port=8302,
        metrics_port=9464,
        store_address="",
        grace_ms=6_000,
        retry_ratio=0.2,
        retry_window_ms=10_000,
        retry_minimum=48,
        quota_bounds=QUOTA_BOUNDS,
    )
