"""Test double of the platform store: range reads, watches, event history, outages and copies."""

import asyncio
import time
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum

import orjson
from aiohttp import web
from attrs import define, field, frozen

PAGE_ITEMS = 50
# A page ends with the item that reaches this size.
PAGE_BYTES = 1 << 20
# The store usually responds within 4 ms, and takes 60 times as long when it is slow.
SLOW_S = 0.24
WATCH_PATH = "/basilhill/kv-watch"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PathFault(Enum):
    """Fault that lasts on a path to the store."""

    DOWN = "down"
    # Responses are lost.
    SILENT = "silent"
    SLOW = "slow"


@define(eq=False)
class StorePath:
    """Path of one client to the store, with the faults on it."""

    # Number of active faults of each kind; faults overlap.
    faults: Counter[PathFault] = field(factory=Counter)
    # Requests that have no response yet.
    open_requests: list[web.Request] = field(factory=list)
    # Connections on which a response was lost; they return nothing further.
    lost: set[asyncio.Transport] = field(factory=set)

    def begin(self, fault: PathFault) -> None:
        """Begin a fault; silence also loses the responses to the open requests."""
        self.faults[fault] += 1
        if fault is PathFault.SILENT:
            self.lose_responses()

    def end(self, fault: PathFault) -> None:
        self.faults[fault] -= 1

    def lose_responses(self) -> None:
        """Lose the responses to the open requests; new connections work."""
        self.lost.update(request.transport for request in self.open_requests)

    def cut_watches(self) -> None:
        """Reset the connections on which a watch waits."""
        for request in self.open_requests:
            if request.path == WATCH_PATH and request.transport is not None:
                request.transport.abort()

    @web.middleware
    async def respond(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Handle a request with the faults that are active when its response is sent."""
        transport = request.transport
        self.open_requests.append(request)
        try:
            response = await self.handle(request, handler)
            if self.faults[PathFault.SLOW]:
                await asyncio.sleep(SLOW_S)
            if self.faults[PathFault.SILENT]:
                self.lost.add(transport)
            if transport in self.lost:
                await wait_until_closed()
            return response
        finally:
            self.open_requests.remove(request)

    async def handle(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        refusal = web.Response(status=503)
        if self.faults[PathFault.DOWN]:
            return refusal
        response = await handler(request)
        return refusal if self.faults[PathFault.DOWN] else response


async def wait_until_closed() -> None:
    """Wait until the handler is cancelled because the client has closed the connection."""
    await asyncio.Event().wait()


@frozen(eq=False)
class StoreCopy:
    """Items and history of the store at a revision."""

    items: dict[str, dict]
    events: list[dict]
    revision: int
    revision_times: list[tuple[float, int]]


@define(eq=False)
class PlatformStoreState:
    """Items, event history and injected faults of the platform store."""

    items: dict[str, dict] = field(factory=dict)
    events: list[dict] = field(factory=list)
    revision: int = 1
    # Number of times that the store came back from a copy, and one.
    era: int = 1
    # Values that a copy lacks and that their writers write again, by key.
    lost: dict[str, str] = field(factory=dict)
    # Keys that only the copy has. Nobody writes them, so that they expire.
    expiring: set[str] = field(factory=set)
    # Value of the header that states the era, in place of the era.
    stated_era: str | None = None
    oldest_revision: int = 0
    down: bool = False
    # Requests get no response while this is not set.
    responsive: asyncio.Event = field(factory=asyncio.Event)
    delay_s: float = 0.0
    # Age of the responses to reads that may be stale.
    stale_s: float = 0.0
    now_s: Callable[[], float] = time.monotonic
    # Times of the revisions, in order.
    revision_times: list[tuple[float, int]] = field(factory=list)
    reads: int = 0
    # Items of one page.
    page_items: int = PAGE_ITEMS
    changed: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Start in the responsive state."""
        self.responsive.set()

    def put(self, key: str, value: dict | bytes) -> None:
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        self.forget_loss(key)
        self.revision += 1
        item = {"key": key, "value": b64encode(data).decode(), "revision": self.revision}
        self.items[key] = item
        self.notify_watches(item)

    def remove(self, key: str) -> None:
        self.forget_loss(key)
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.notify_watches({"key": key, "revision": self.revision, "removed": True})

    def compact_history(self) -> None:
        """Drop the event history, so that clients must read the range again."""
        self.oldest_revision = self.revision
        self.notify_watches(None)

    def forget_loss(self, key: str) -> None:
        """Record that a key was written or removed after the store came back."""
        self.lost.pop(key, None)
        self.expiring.discard(key)

    def write_again(self, key: str) -> None:
        """Write what a copy lacks, unless the key was written or removed since."""
        value = self.lost.get(key)
        if value is not None:
            self.put(key, b64decode(value))

    def expire(self, key: str) -> None:
        """Remove a key that only the copy had, unless it was written since."""
        if key in self.expiring:
            self.remove(key)

    def copy(self) -> StoreCopy:
        return StoreCopy(
            dict(self.items), list(self.events), self.revision, list(self.revision_times)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and a new era begins."""
        written = {key: item["value"] for key, item in self.items.items()} | self.lost
        wanted = {key: value for key, value in written.items() if key not in self.expiring}
        listed = {key: item["value"] for key, item in copy.items.items()}
        self.lost = {key: value for key, value in wanted.items() if listed.get(key) != value}
        self.expiring = listed.keys() - wanted.keys()
        self.items, self.events = dict(copy.items), list(copy.events)
        self.revision, self.revision_times = copy.revision, list(copy.revision_times)
        self.era += 1
        self.notify_watches(None)

    def has_history(self, after: int, era: int) -> bool:
        """Return whether all changes after a revision of an era are known."""
        return era == self.era and self.oldest_revision <= after <= self.revision

    def stale_revision(self) -> int:
        """Return the revision that a read which may be stale returns now."""
        until_s = self.now_s() - self.stale_s
        return max((one for at_s, one in self.revision_times if at_s <= until_s), default=1)

    def notify_watches(self, event: dict | None) -> None:
        """Append an event, if any, and notify the watches."""
        self.revision_times.append((self.now_s(), self.revision))
        if event is not None:
            self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()


def build_store(state: PlatformStoreState, path: StorePath | None = None) -> web.Application:
    """Return the store as the clients of a path see it."""
    path = path or StorePath()

    async def kv_range(request: web.Request) -> web.Response:
        state.reads += 1
        if state.down:
            return web.Response(status=503)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in state.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        while len(page) < min(len(keys), state.page_items) and size < PAGE_BYTES:
            page.append(state.items[keys[len(page)]])
            size += len(page[-1]["value"])
        more = len(keys) > len(page)
        is_stale = request.query.get("allowStale") == "1"
        as_of = state.stale_revision() if is_stale else state.revision
        return web.json_response({"items": page, "hasMore": more, "asOf": as_of})

    async def kv_watch(request: web.Request) -> web.Response:
        state.reads += 1
        prefix, after = request.query["prefix"], int(request.query["after"])
        era = state.era
        deadline = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000
        while True:
            if state.down:
                return web.Response(status=503)
            if not state.has_history(after, era):
                return web.Response(status=410)
            events = [
                event
                for event in state.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response({"events": events, "asOf": state.revision})
            try:
                async with asyncio.timeout(left_s):
                    await state.changed.wait()
            except TimeoutError:
                continue

    @web.middleware
    async def apply_faults(request: web.Request, handler) -> web.StreamResponse:
        await state.responsive.wait()
        await asyncio.sleep(state.delay_s)
        return await handler(request)

    async def state_era(_request: web.Request, response: web.StreamResponse) -> None:
        stated = str(state.era) if state.stated_era is None else state.stated_era
        if stated:
            response.headers["Store-Era"] = stated

    app = web.Application(middlewares=[path.respond, apply_faults])
    app.on_response_prepare.append(state_era)
    app.router.add_get("/basilhill/kv-range", kv_range)
    app.router.add_get(WATCH_PATH, kv_watch)
    return app
