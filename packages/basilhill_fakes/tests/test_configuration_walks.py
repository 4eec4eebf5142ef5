"""Random walks of slow, paused and partly unreachable nodes and stores over simulated time."""

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import pytest
from attrs import define, evolve, field
from basilhill.queries.subscribers import subscriber_hosts
from basilhill_fakes.configuration_checks import (
    check_until,
    kill_or_start,
    leave_or_replace,
    run,
    start_fleet,
)
from basilhill_fakes.platform_store import PAGE_ITEMS, PlatformStoreState
from basilhill_fakes.sidecar_fleet import build_route
from basilhill_fakes.simulated_fleet import SimulatedFleet, SimulatedStore, SimulatedVm, StoreAccess
from basilhill_fakes.simulated_loop import SimulatedNetwork
from basilhill_node.platform.store import WATCH_MARGIN_S
from basilhill_node.sidecar import peer_listener
from basilhill_node.sidecar.commands.apply_updates import ViewUpdater
from basilhill_node.sidecar.commands.follow_store import CHECK_AGE_MS, WATCH_MS
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.commands.read_store import StoreReader
from basilhill_node.sidecar.frames import FrameKind, encode_frame
from basilhill_node.sidecar.state import STORE

# Time in which the nodes of a new fleet learn of each other.
START_S = 3.0
RUN_S = 60.0
CALM_S = 60.0
STEP_S = 0.8
VMS = 6
LAYOUTS = ("a" * VMS, "aaaabbbb")
SEEDS = range(8)
FAILING_METHODS = ("put", "remove", "replace", "apply_configuration")
# The platform's store takes up to 60 times its latency of 4 ms when it is slow.
SLOW_S = 0.24
SERVICES = ("calendar", "orders", "search")
STEPS = (
    ("change",) * 6
    + ("leave", "leave", "restart", "entry")
    + ("store", "data centre", "data centre", "vm", "vm", "vm", "pause", "pause", "pauses")
    + ("series", "stale", "forget", "error")
)
READER_STEPS = tuple(step for step in STEPS if step != "store")


@define(eq=False)
class FailingUpdaters:
    """Updaters with the method that fails, and whether it fails after its effect."""

    faults: dict[ViewUpdater, tuple[str, bool]] = field(factory=dict)

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Let the methods of all updaters fail where a fault is present."""
        for method in FAILING_METHODS:
            works = getattr(ViewUpdater, method)
            monkeypatch.setattr(ViewUpdater, method, self.wrap(method, works))

    def wrap(self, method: str, works: Callable) -> Callable:
        """Return a method that fails where a fault is present."""

        def work_or_fail(updater: ViewUpdater, *arguments):
            name, has_effect = self.faults.get(updater, ("", False))
            if name != method:
                return works(updater, *arguments)
            if has_effect:
                works(updater, *arguments)
            raise RuntimeError("unexpected")

        return work_or_fail

    def fail(self, fleet: SimulatedFleet, vm: SimulatedVm, random: Random) -> None:
        """Let the updater of a node fail for a while."""
        if vm.node is None:
            return
        updater, for_s = vm.node.follower.updater, random.uniform(0.2, 5.0)
        self.faults[updater] = random.choice(FAILING_METHODS), random.random() < 0.5
        # The bounds do not hold for the node that fails.
        vm.disturbed_s = max(vm.disturbed_s, fleet.loop.time() + for_s)
        end_later(fleet, for_s, lambda: self.faults.pop(updater, None))


@pytest.fixture
def failing(monkeypatch) -> FailingUpdaters:
    """Return the updaters that fail to apply what their node has decoded."""
    found = FailingUpdaters()
    found.install(monkeypatch)
    return found


def asked_vms(fleet: SimulatedFleet) -> list[SimulatedVm]:
    """Return the VMs whose nodes others ask for a feed."""
    directory = fleet.vms[0].node.state.directory
    return [vm for vm in fleet.vms if vm.address in subscriber_hosts(directory, vm.data_centre)]


def random_routes(random: Random) -> list[dict]:
    """Return routes of which each may be absent, moved to another service or split."""
    routes = [build_route("r-read", "/read/", "calendar")]
    for name in ("r-1", "r-2", "r-3", "r-4"):
        kind = random.choice(("absent", "single", "single", "split"))
        if kind == "single":
            routes.append(build_route(name, f"/{name}/", random.choice(SERVICES)))
        elif kind == "split":
            split = [{"service": one, "weight": random.randint(1, 9)} for one in SERVICES[:2]]
            routes.append(build_route(name, f"/{name}/", SERVICES[0], trafficSplit=split))
    return routes


def change(fleet: SimulatedFleet, random: Random) -> None:
    """Write one version, or several at once."""
    for _ in range(random.choice((1, 1, 4))):
        fleet.change_configuration(*random_routes(random))


def disturb_access(fleet: SimulatedFleet, accesses: list[StoreAccess], random: Random) -> float:
    """Begin a random fault on the way to the store; return how long it lasts in seconds."""
    fault = random.choice(("slow", "slower", "silent", "refused", "lost", "lost watches", "reset"))
    slow_s, slower_s = random.uniform(0.02, SLOW_S), random.uniform(0.5, 2.0)
    ratio = random.choice((0.2, 0.5, 1.0))
    for access in accesses:
        if fault == "slow":
            access.slow_s = slow_s
        elif fault == "slower":
            access.slow_s = slower_s
        elif fault == "silent":
            access.silence()
        elif fault == "refused":
            access.refused = True
        elif fault == "lost":
            access.lost_ratio = ratio
        elif fault == "lost watches":
            access.silences += 1
        elif fault == "reset":
            fleet.reset_store_connections(access)
    return 0.0 if fault in ("lost watches", "reset") else random.uniform(0.3, 9.0)


def end_later(fleet: SimulatedFleet, after_s: float, end: Callable[[], None]) -> None:
    """Call `end` after a time."""
    fleet.loop.call_later(after_s, end)


def disturb_store(fleet: SimulatedFleet, random: Random) -> None:
    """Disturb the store for all nodes."""

    def end() -> None:
        fleet.access.restore()
        fleet.store_disturbed_s = fleet.loop.time()

    end_later(fleet, disturb_access(fleet, [fleet.access], random), end)


def disturb_paths(fleet: SimulatedFleet, vms: list[SimulatedVm], random: Random) -> None:
    """Disturb the way of some nodes to the store."""

    def end() -> None:
        for vm in vms:
            vm.path.restore()
            vm.disturbed_s = max(vm.disturbed_s, fleet.loop.time())

    end_later(fleet, disturb_access(fleet, [vm.path for vm in vms], random), end)


def slow_down(fleet: SimulatedFleet, vm: SimulatedVm, random: Random) -> None:
    """Let all data from and to a VM take longer for a while."""
    vm.path.delay_s = random.choice((0.05, 0.2, 0.28))
    fleet.loop.network.delays_s[vm.address] = random.choice((0.05, 0.2, 0.4))

    def end() -> None:
        vm.path.restore()
        fleet.loop.network.delays_s.pop(vm.address, None)
        vm.disturbed_s = max(vm.disturbed_s, fleet.loop.time())

    end_later(fleet, random.uniform(1.0, 12.0), end)


def pause(fleet: SimulatedFleet, vm: SimulatedVm, for_s: float) -> None:
    """Stop the process of a VM for a while."""
    if vm.node is None or vm.address in fleet.loop.paused:
        return
    fleet.loop.pause(vm.address)
    vm.disturbed_s = max(vm.disturbed_s, fleet.loop.time())
    node = vm.node

    def end() -> None:
        if vm.node is node:
            fleet.loop.resume(vm.address)
            vm.disturbed_s = max(vm.disturbed_s, fleet.loop.time())

    end_later(fleet, for_s, end)


async def take_step(
    fleet: SimulatedFleet,
    random: Random,
    step: str,
    vms: list[SimulatedVm],
    failing: FailingUpdaters,
) -> None:
    """Make one change or begin one fault at some of the VMs."""
    vm = random.choice(vms)
    data_centre = random.choice(sorted({one.data_centre for one in vms}))
    group = [one for one in vms if one.data_centre == data_centre]
    if step == "change":
        change(fleet, random)
    elif step == "leave":
        leave_or_replace(fleet, vm, random)
    elif step == "restart":
        await kill_or_start(fleet, vm)
    elif step == "entry":
        fleet.store.put(f"servers/x-{random.randrange(9)}", b"not an entry")
    elif step == "store":
        disturb_store(fleet, random)
    elif step == "data centre":
        disturb_paths(fleet, group, random)
    elif step == "vm":
        if random.random() < 0.5:
            disturb_paths(fleet, [vm], random)
        else:
            slow_down(fleet, vm, random)
    elif step == "pause":
        pause(fleet, vm, random.uniform(0.1, 8.0))
    elif step == "pauses":
        for one in random.sample(group, min(3, len(group))):
            pause(fleet, one, random.uniform(0.5, 6.0))
    elif step == "series":
        for number, one in enumerate(random.sample(group, min(3, len(group)))):
            after_s, for_s = number * random.uniform(0.2, 1.5), random.uniform(0.5, 4.0)
            fleet.loop.call_later(after_s, pause, fleet, one, for_s)
    elif step == "stale":
        fleet.store.stale_s = random.choice((0.0, 0.5, 2.0, 4.0))
    elif step == "forget":
        fleet.store.compact_history()
    elif step == "error":
        failing.fail(fleet, vm, random)


async def walk(
    fleet: SimulatedFleet,
    seed: int,
    vms: list[SimulatedVm],
    failing: FailingUpdaters,
    steps: tuple[str, ...] = STEPS,
) -> None:
    """Inject random faults at some VMs and changes until `RUN_S`, and check all the while."""
    random, seen = Random(seed), {}
    for access in (fleet.access, *(vm.path for vm in fleet.vms)):
        access.random = Random(random.random())
    fleet.store.page_items = random.choice((3, PAGE_ITEMS))
    while fleet.loop.time() < RUN_S:
        await check_until(fleet, fleet.loop.time() + random.expovariate(1 / STEP_S), seen)
        await take_step(fleet, random, random.choice(steps), vms, failing)
    fleet.stop()


@pytest.mark.parametrize("data_centres", LAYOUTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_versions_are_in_force_beside_slow_and_paused_nodes(loop, failing, seed, data_centres):
    """Guard against nodes in touch that keep an old state beside slow or paused ones."""

    async def scenario() -> None:
        fleet = await start_fleet(loop, seed, data_centres)
        await walk(fleet, seed, fleet.vms, failing)

    run(loop, scenario())


@pytest.mark.parametrize("data_centres", LAYOUTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_versions_are_in_force_where_only_readers_are_disturbed(loop, failing, seed, data_centres):
    """Guard against sound nodes that keep an old state when their readers fail in any order.

    Faults hit the nodes that others ask for a feed, so the bound holds for the others throughout.
    """

    async def scenario() -> None:
        fleet = await start_fleet(loop, seed, data_centres)
        await check_until(fleet, START_S, {})
        await walk(fleet, seed, asked_vms(fleet), failing, READER_STEPS)

    run(loop, scenario())


@pytest.mark.parametrize("slow_s", [0.1, SLOW_S])
@pytest.mark.parametrize("seed", range(2))
def test_store_slowed_to_its_usual_limit_delays_no_version(loop, seed, slow_s):
    """Guard against a bound that holds only beside a store that responds at once.

    The checks do not excuse the slow store.
    """

    async def scenario() -> None:
        fleet, seen, random = await start_fleet(loop, seed, LAYOUTS[1]), {}, Random(seed)
        await check_until(fleet, 20.0, seen)
        slow_responses(fleet, slow_s)
        while loop.time() < RUN_S:
            change(fleet, random)
            await check_until(fleet, loop.time() + random.uniform(0.1, 2.5), seen)
        fleet.stop()

    run(loop, scenario())


def slow_responses(fleet: SimulatedFleet, slow_s: float) -> None:
    """Let the store respond slowly, without an excuse for any node."""
    slow = StoreAccess(slow_s=slow_s)
    for vm in fleet.vms:
        reader = vm.node.follower.reader
        reader.store.paths = (*reader.store.paths, slow)


@pytest.mark.parametrize("up_s", [0.2, 1.0, 3.0])
@pytest.mark.parametrize("seed", range(2))
def test_reader_that_restarts_again_and_again_delays_no_version(loop, seed, up_s):
    """Guard against followers that lose time with each restart of the node they follow."""

    async def scenario() -> None:
        fleet, seen, random = await start_fleet(loop, seed, LAYOUTS[0]), {}, Random(seed)
        await check_until(fleet, 20.0, seen)
        (reader,) = asked_vms(fleet)[:1]
        while loop.time() < RUN_S:
            fleet.kill(reader)
            change(fleet, random)
            await check_until(fleet, loop.time() + random.uniform(0.05, 1.0), seen)
            await fleet.start(reader)
            change(fleet, random)
            await check_until(fleet, loop.time() + random.uniform(0.5, 1.0) * up_s, seen)
        fleet.stop()

    run(loop, scenario())


@pytest.mark.parametrize("seed", range(3))
def test_follower_of_a_node_that_begins_to_follow_misses_no_change(loop, monkeypatch, seed):
    """Guard against changes that a node with followers learns from a feed and does not send.

    The node had read the store and served a follower while it connected to its own reader. Once it
    read the store again, its heartbeats proved a revision whose changes the follower never got.
    """

    async def scenario() -> None:
        fleet, seen = await start_fleet(loop, seed, LAYOUTS[0]), {}
        await check_until(fleet, 20.0, seen)
        hosts = subscriber_hosts(fleet.vms[0].node.state.directory, "a")
        by_host = {vm.address: vm for vm in fleet.vms}
        reader, middle = by_host[hosts[0]], by_host[hosts[1]]
        first, second = [vm for vm in fleet.vms if vm.address not in hosts][:2]
        connect_slowly(monkeypatch, middle.address, 0.45)
        fleet.kill(middle)
        await fleet.start(middle)
        await check_until(fleet, 20.1, seen)
        leave_reader(first, reader)
        await check_until(fleet, 20.5, seen)
        fleet.change_configuration()
        fleet.remove_server(second)
        await check_until(fleet, 20.6, seen)
        leave_reader(second, reader)
        await check_until(fleet, 30.0, seen)
        fleet.stop()

    run(loop, scenario())


async def retain_entry(
    fleet: SimulatedFleet, vm: SimulatedVm, leaving: SimulatedVm, seen: dict[object, int]
) -> None:
    """Remove a server while a node reaches nothing, and wait until the node retains its entry."""
    vm.path.silence()
    fleet.cut(vm)
    await check_until(fleet, 25.0, seen)
    fleet.remove_server(leaving)
    await check_until(fleet, 26.0, seen)
    vm.path.restore()
    vm.disturbed_s = fleet.loop.time()
    while leaving.server_id not in vm.node.state.directory.retained_until_ms:
        await check_until(fleet, fleet.loop.time() + 0.01, seen)
    fleet.reconnect(vm)


def leave_reader(vm: SimulatedVm, reader: SimulatedVm) -> None:
    """Let a follower leave its reader and ask another node, as after an unresponsive feed."""
    feeds = vm.node.follower.feeds
    feeds.failed_ms[reader.address] = feeds.clock.now_ms()
    feeds.stop()


def connect_slowly(monkeypatch: pytest.MonkeyPatch, from_host: str, connect_s: float) -> None:
    """Let the connections that a host opens to peers take longer."""
    connect = SimulatedNetwork.connect

    async def wait_and_connect(self, factory, host, other, port):
        if host == from_host:
            await asyncio.sleep(connect_s)
        return await connect(self, factory, host, other, port)

    monkeypatch.setattr(SimulatedNetwork, "connect", wait_and_connect)


@pytest.mark.parametrize("seed", range(2))
def test_entry_retained_by_a_follower_is_removed_in_time(loop, seed):
    """Guard against a server that stays in use since its entry was retained after an outage.

    Only readers of the store removed retained entries. A node that lost the store again meanwhile
    followed a feed for up to 15 s, whose sender had removed the server before.
    """

    async def scenario() -> None:
        fleet, seen = await start_fleet(loop, seed, LAYOUTS[0]), {}
        await check_until(fleet, 20.0, seen)
        hosts = subscriber_hosts(fleet.vms[0].node.state.directory, "a")
        follower, leaving = [vm for vm in fleet.vms if vm.address not in hosts][:2]
        await retain_entry(fleet, follower, leaving, seen)
        follower.path.refused = True
        await check_until(fleet, 32.0, seen)
        follower.path.restore()
        follower.disturbed_s = loop.time()
        await check_until(fleet, 45.0, seen)
        fleet.stop()

    run(loop, scenario())


@pytest.mark.parametrize("seed", range(2))
def test_entry_retained_by_a_reader_does_not_return_at_its_followers(loop, seed):
    """Guard against followers that use a removed server again after a frame of its reader.

    The reader had lost the store while the server was removed, and retained its entry. A complete
    frame does not tell such an entry from one that is registered.
    """

    async def scenario() -> None:
        fleet, seen = await start_fleet(loop, seed, LAYOUTS[0]), {}
        await check_until(fleet, 20.0, seen)
        hosts = subscriber_hosts(fleet.vms[0].node.state.directory, "a")
        reader = next(vm for vm in fleet.vms if vm.address == hosts[0])
        leaving = [vm for vm in fleet.vms if vm.address not in hosts][0]
        await retain_entry(fleet, reader, leaving, seen)
        for vm in fleet.vms:
            if vm is not reader:
                vm.node.follower.feeds.failed_ms.clear()
                vm.node.publisher.end("other nodes read the store")
        await check_until(fleet, 40.0, seen)
        fleet.stop()

    run(loop, scenario())


def claim_no_age(vm: SimulatedVm, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the frames of a reader claim age 0, as those of an older version may."""
    publisher = vm.node.publisher
    encode = FeedPublisher.encode_feed

    def encode_without_age(self: FeedPublisher, *arguments) -> bytes:
        if self is not publisher:
            return encode(self, *arguments)
        verified_ms, self.view.verified_ms = self.view.verified_ms, self.clock.now_ms()
        frame = encode(self, *arguments)
        self.view.verified_ms = verified_ms
        return frame

    monkeypatch.setattr(FeedPublisher, "encode_feed", encode_without_age)


@pytest.mark.parametrize("delay_s", [0.2, 0.3, 0.5])
@pytest.mark.parametrize("seed", range(2))
def test_followers_of_an_older_slow_reader_have_the_version_in_time(
    loop, monkeypatch, seed, delay_s
):
    """Guard against followers that depend on the age in the frames of a reader that is slow.

    Readers of an older version put the age of their last contact in their frames.
    """

    async def scenario() -> None:
        fleet, seen, random = await start_fleet(loop, seed, LAYOUTS[0]), {}, Random(seed)
        await check_until(fleet, 20.0, seen)
        (reader,) = (vm for vm in fleet.vms if vm.node.state.store.source == STORE)
        claim_no_age(reader, monkeypatch)
        reader.path.delay_s = delay_s
        # The bounds do not hold for the node that is slow.
        reader.disturbed_s = loop.time() + RUN_S
        while loop.time() < 40.0:
            change(fleet, random)
            await check_until(fleet, loop.time() + random.uniform(0.1, 2.5), seen)
        fleet.stop()

    run(loop, scenario())


@pytest.mark.parametrize("seed", range(2))
def test_followers_of_an_older_reader_with_a_lost_watch_have_the_version_in_time(
    loop, monkeypatch, seed
):
    """Guard against followers that take the age in the frames of an older node for a proof.

    An older reader takes probes for a proof that its watch has missed nothing, so its frames have a
    current age and revision. Only the version of its frames tells its followers to check the store.
    """
    monkeypatch.setattr(peer_listener, "PONG", encode_frame(FrameKind.PONG))

    async def scenario() -> None:
        fleet, seen = await start_fleet(loop, seed, LAYOUTS[1]), {}
        await check_until(fleet, 20.0, seen)
        reader = next(
            vm for vm in fleet.vms if vm.data_centre == "a" and vm.node.state.store.source == STORE
        )
        claim_no_age(reader, monkeypatch)
        check = StoreReader.check

        async def probe(self: StoreReader) -> None:
            if self is reader.node.follower.reader:
                self.record_verified(self.clock.now_ms())
                return
            await check(self)

        monkeypatch.setattr(StoreReader, "check", probe)
        fleet.change_configuration()
        # The next watch has begun.
        await check_until(fleet, 21.0, seen)
        reader.path.silences += 1
        fleet.change_configuration()
        changed_s = loop.time()
        # The bounds do not hold for the older node.
        reader.disturbed_s = changed_s + WATCH_MS / 1000 + WATCH_MARGIN_S
        await check_until(fleet, changed_s + 35.0, seen)
        fleet.stop()

    run(loop, scenario())


def count_calls(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return the number of calls to the store by the function that serves them."""
    calls: Counter[str] = Counter()
    call = SimulatedStore.call

    async def count_and_call(self, serve, longest_s):
        calls[serve.func.__name__ if isinstance(serve, partial) else serve.__name__] += 1
        return await call(self, serve, longest_s)

    monkeypatch.setattr(SimulatedStore, "call", count_and_call)
    return calls


@pytest.mark.parametrize("vms", [6, 13, 64])
@pytest.mark.parametrize("change_s", [CALM_S, 6.0])
def test_calls_to_the_store_do_not_grow_with_the_followers(loop, monkeypatch, vms, change_s):
    """Guard against followers that check the store while their reader does."""
    calls = count_calls(monkeypatch)

    async def scenario() -> None:
        fleet = await start_fleet(loop, 1, "a" * vms)
        await asyncio.sleep(40.0 - loop.time())
        calls.clear()
        while loop.time() < 40.0 + CALM_S - 1.0:
            fleet.change_configuration()
            await asyncio.sleep(change_s)
        fleet.stop()

    run(loop, scenario())
    assert calls.total() <= CALM_S / (CHECK_AGE_MS / 1000) + 2 * CALM_S / change_s + 4


@pytest.mark.parametrize("slow_s", [0.1, SLOW_S])
def test_checks_of_a_slow_store_do_not_grow_with_the_followers(loop, monkeypatch, slow_s):
    """Guard against followers that check a slow store since the proof of their reader is late."""
    calls = count_calls(monkeypatch)

    async def scenario() -> None:
        fleet = await start_fleet(loop, 1, "a" * 64)
        await asyncio.sleep(40.0 - loop.time())
        fleet.access.slow_s = slow_s
        calls.clear()
        await asyncio.sleep(CALM_S)
        fleet.stop()

    run(loop, scenario())
    assert calls.total() <= CALM_S / (CHECK_AGE_MS / 1000) + 6


@pytest.mark.parametrize("seed", range(4))
def test_node_that_changes_to_a_store_behind_its_feed_does_not_go_back(loop, seed):
    """Guard against a node that returns to an old state when it leaves a feed for the store."""

    async def scenario() -> None:
        fleet, seen, random = await start_fleet(loop, seed, LAYOUTS[0]), {}, Random(seed)
        await check_until(fleet, 20.0, seen)
        behind = copy_state(fleet.store)
        follower = next(vm for vm in fleet.vms if vm.node.state.store.source != STORE)
        fleet.remove_server(next(vm for vm in fleet.vms if vm is not follower))
        change(fleet, random)
        await check_until(fleet, 21.0, seen)
        store = follower.node.follower.reader.store
        current, store.state = store.state, behind
        # The bounds do not hold for the node whose store is behind.
        follower.disturbed_s = loop.time() + RUN_S
        while loop.time() < 30.0:
            follower.node.follower.feeds.stop()
            change(fleet, random)
            await check_until(fleet, loop.time() + random.uniform(0.1, 1.5), seen)
            entries = follower.node.state.directory.entries
            assert not [one for one in entries if one in fleet.leaving]
        store.state, follower.disturbed_s = current, loop.time()
        await check_until(fleet, 40.0, seen)
        fleet.stop()

    run(loop, scenario())


def copy_state(state: PlatformStoreState) -> PlatformStoreState:
    """Return a store that stays in the state of now."""
    items, events = dict(state.items), list(state.events)
    return evolve(state, items=items, events=events, changed=asyncio.Event())
