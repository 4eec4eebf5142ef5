"""Test that no collection of a node grows with the number of requests, on simulated time."""

import asyncio
from collections import Counter, deque
from collections.abc import Iterator
from random import Random
from typing import Any

import attrs
from basilhill_fakes.simulated_fleet import SimulatedFleet
from basilhill_fakes.simulated_loop import HOST, SimulatedLoop

CLIENT_PORT, SERVER_PORT = 8304, 8301
REQUESTS = 100_000
# Numbers of requests have the same length, so that sizes of texts can be compared.
FIRST_NUMBER = 1_000_000
SAMPLE_EVERY = 197
REPLACED_SERVERS = 200
# Requests after which all windows and caches are full: the longest window is 60 s of simulated
# time, and each request takes more than 8 ms.
WARM_UP = 20_000
# Elements by which a collection may vary, beside a tenth of its size.
SLACK = 64
COLLECTIONS = (dict, set, frozenset, list, tuple, deque, bytes, bytearray, str)


class VariedServer(asyncio.Protocol):
    """Backend server whose response to a request depends on the end of its id."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Run a request, refuse it, fail, or refuse its server id."""
        head = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head[1:])
        attempt = fields[b"basilhill-attempt-id"]
        status, extra = b"200 OK", b"Basilhill-Response-Signature: s-" + attempt
        if attempt.endswith(b"3"):
            status, extra = b"503 Busy", b"Basilhill-Not-Executed: 1"
        elif attempt.endswith(b"5"):
            status = b"500 Failed"
        elif fields[b"basilhill-target-instance"].startswith(b"false-"):
            status, extra = b"421 Misdirected", b"Basilhill-Not-Executed: 1"
        self.transport.write(
            b"HTTP/1.1 %s\r\nBasilhill-Attempt-Id: %s\r\nX-%s: 1\r\n%s\r\n"
            b"Content-Length: 2\r\n\r\nok" % (status, attempt, attempt, extra)
        )


class Client(asyncio.Protocol):
    """Client that sends one request after the other on one connection."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.received = b""
        self.statuses: set[int] = set()
        self.responded = asyncio.Event()
        self.lost = False

    def data_received(self, data: bytes) -> None:
        """Count a complete response; responses of this test arrive in one part."""
        self.statuses.add(int(data[9:12]))
        self.responded.set()

    def connection_lost(self, _error: Exception | None) -> None:
        self.lost = True
        self.responded.set()

    async def request(self, number: int) -> None:
        """Send a request with an id, a path and a header that no other one has."""
        path = "/none" if number % 10 == 7 else "/read"
        self.responded.clear()
        self.transport.write(
            f"GET {path}/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Number: {number}\r\n"
            f"Basilhill-Attempt-Id: {number % 977}.a{number}\r\n"
            "Basilhill-Deadline-Ms: 2000\r\n\r\n".encode()
        )
        await self.responded.wait()


def sizes(*roots: Any) -> Counter[str]:
    """Return the sum of the sizes of all collections reachable from objects, by their attribute."""
    found: Counter[str] = Counter()
    seen: set[int] = set()
    waiting = [("", root) for root in roots]
    while waiting:
        place, value = waiting.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, COLLECTIONS):
            found[place] += len(value)
        if not isinstance(value, (str, bytes, bytearray)):
            waiting += parts(place, value)
    return found


def parts(place: str, value: Any) -> Iterator[tuple[str, Any]]:
    """Yield the elements of a collection or the attributes of an object, with their place."""
    if isinstance(value, dict):
        for key, part in value.items():
            yield f"{place} keys", key
            yield f"{place}[]", part
    elif isinstance(value, (set, frozenset, list, tuple, deque)):
        for part in value:
            yield f"{place}[]", part
    elif type(value).__module__.startswith(("basilhill.", "basilhill_node.", "basilhill_fakes.")):
        names = set(getattr(value, "__dict__", ()))
        if attrs.has(type(value)):
            names |= {attribute.name for attribute in attrs.fields(type(value))}
        for name in names:
            yield f"{type(value).__name__}.{name}", getattr(value, name, None)
    elif hasattr(value, "__self__"):
        yield f"{place}()", value.__self__


async def start_fleet(loop: SimulatedLoop, data_centres: str) -> tuple[SimulatedFleet, Client]:
    """Start nodes beside servers, and connect a client to the first node."""
    fleet = SimulatedFleet(loop, Random(1))
    for data_centre in data_centres:
        fleet.add_vm(data_centre)
    fleet.change_configuration()
    for vm in fleet.vms:
        loop.network.listen(VariedServer, vm.address, SERVER_PORT)
        await fleet.start(vm)
    await asyncio.sleep(1.0)
    HOST.set(fleet.vms[0].address)
    _, client = await loop.create_connection(Client, fleet.vms[0].address, CLIENT_PORT)
    return fleet, client


def test_nothing_grows_with_the_requests_of_a_connection(loop):
    """Guard against sets and maps that take memory for each request and never lose it."""

    async def scenario() -> None:
        fleet, client = await start_fleet(loop, "ab")
        # The largest sizes of each period.
        early, late = Counter(), Counter()
        for number in range(REQUESTS):
            await client.request(FIRST_NUMBER + number)
            assert not client.lost, f"the connection was closed after request {number}"
            period = early if number < WARM_UP else late
            if number % SAMPLE_EVERY == 0 and (period is early or number >= REQUESTS - WARM_UP):
                period |= sizes(*(vm.node for vm in fleet.vms))
        grown = {
            place: (early[place], size)
            for place, size in late.items()
            if size > early[place] * 1.1 + SLACK
        }
        assert client.statuses == {200, 404, 500, 503}
        assert "ClientConnection.refused_ids" in late and "HeaderTable.seen" in late
        assert not grown, grown
        fleet.stop()

    loop.run_until_complete(scenario())


def test_refused_server_ids_are_dropped_with_their_entries(loop):
    """Guard against a set that takes memory for each server that was replaced at an address."""

    async def scenario() -> None:
        fleet, client = await start_fleet(loop, "a")
        (vm,) = fleet.vms
        misdirected_ids, refused = vm.node.state.executor.misdirected_ids, 0
        for number in range(REPLACED_SERVERS):
            server_id = vm.server_id = f"false-{number}"
            fleet.servers.append(server_id)
            fleet.register(vm, "ready")
            await asyncio.sleep(0.1)
            await client.request(FIRST_NUMBER + 10 * number)
            refused += server_id in misdirected_ids
            fleet.store.remove(f"servers/{server_id}")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        # The retry budget keeps most of the other requests from the server.
        assert refused > REPLACED_SERVERS / 10
        assert not misdirected_ids
        fleet.stop()

    loop.run_until_complete(scenario())
