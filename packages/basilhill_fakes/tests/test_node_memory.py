"""Tests of real node processes with large messages: their memory, and a stop while clients read."""

import asyncio
import os
import signal
import socket
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import asynccontextmanager, suppress
from multiprocessing import get_context
from pathlib import Path
from random import Random

import aiohttp
import pytest
from attrs import define, field
from basilhill_fakes.plain_server import ATTEMPT_ID, MAX_BODY_BYTES
from basilhill_fakes.sidecar_fleet import HOST, build_configuration, build_route
from basilhill_fakes.soak_fleet import (
    CLIENT_PORT,
    READS,
    SERVER_PORT,
    WRITES,
    SoakFleet,
    SoakVm,
)

# Limit at which the platform kills a process.
MEMORY_MB = 300
# Memory that a node may hold above its memory at rest once all messages have ended.
AT_REST_MB = 15
# Longest value that the platform stores.
STORED_BYTES = 1 << 20
CONFIG_APPLY_S = 2.0
METRICS_PORT = 9464
LINE_BYTES = 10_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

SAMPLE_S = 0.01
SOUND_CLIENTS = 4
DEADLINE_MS = "20000"
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutS": 10,
    "idleTimeoutS": 15,
}
# A body of 32 MB takes 4.2 s.
SLOW_BYTES_PER_S = 8_000_000
PIECE_BYTES = 128 << 10
RETRY_S = 0.2
TINY_CHUNKS = b"2\r\nxx\r\n" * 8_192
# Bodies that pass between the nodes of two VMs at the same time.
PASSED_BYTES = [64 << 20] * 2 + [8 << 20] * 20
PASSED_TIMEOUT_S = 30
LARGE_READS = build_route("r-read", "/read/", "calendar", attempts=3, timeoutS=PASSED_TIMEOUT_S)
# Length of the responses to sound calls, and time that their server takes.
SMALL_BYTES = 100
SMALL_S = 0.01
ROUNDS = 4
CALM_S = 4.0
# The 99th percentile of sound calls beside large messages, compared with that of the calm run.
SLOWDOWN = 2.0


def memory_mb(vm: SoakVm) -> float:
    """Return the resident memory of a node."""
    pages = int(Path(f"/proc/{vm.process.pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 2**20


@define(eq=False)
class Pressure:
    """Peak memory of a node, and the sound calls that clients make through it meanwhile."""

    fleet: SoakFleet
    vm: SoakVm
    peak_mb: float = 0.0
    # Highest peak of all nodes.
    highest_mb: float = 0.0
    statuses: list[int] = field(factory=list)
    # Duration of each sound call.
    took_s: list[float] = field(factory=list)
    # Whether the test has stopped the node.
    stopped: bool = False

    async def sample(self) -> None:
        """Record the peak memory until the node ends."""
        while self.vm.process.returncode is None:
            self.peak_mb = max(self.peak_mb, memory_mb(self.vm))
            self.highest_mb = max(self.highest_mb, *map(memory_mb, self.fleet.vms))
            await asyncio.sleep(SAMPLE_S)

    async def call(self) -> None:
        """Send calls that another VM serves, one after the other, until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                started_s = time.perf_counter()
                attempt = await self.fleet.send_attempt(session, self.vm, "POST", "/write/")
                self.took_s.append(time.perf_counter() - started_s)
                self.statuses.append(attempt.status)


@asynccontextmanager
async def pressure(
    directory: Path,
    limits: dict | None = None,
    services: tuple[str, ...] = ("calendar", "deposits"),
    reads: dict = READS,
    node_paths: tuple[str, ...] = (),
):
    """Start nodes; sample the first one while its clients call the server of the second."""
    # Proxies share the process of the tests, which is busy with large messages.
    fleet = SoakFleet(directory, Random(1), proxied=False, node_paths=node_paths)
    try:
        await fleet.start(services)
        configuration = build_configuration(2, reads, WRITES)
        fleet.store.put("op/config", configuration | {"limits": limits or LIMITS})
        await asyncio.sleep(1.5)
        running = Pressure(fleet, fleet.vms[0])
        tasks = [asyncio.create_task(running.sample())]
        tasks += [asyncio.create_task(running.call()) for _ in range(SOUND_CLIENTS)]
        try:
            yield running
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert running.stopped or running.vm.process.returncode is None
    finally:
        await fleet.stop()


@asynccontextmanager
async def raw_server(vm: SoakVm, handle):
    """Replace the backend server of a VM by a handler of connections."""
    await vm.runner.cleanup()

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await handle(reader, writer)
        writer.close()

    server = await asyncio.start_server(run, vm.outer_address, SERVER_PORT)
    try:
        yield
    finally:
        server.close()


async def request(
    vm: SoakVm, head: bytes, *parts: bytes, number: int = 0, path: str = "/read/a"
) -> bytes:
    """Send a request in parts on a connection of its own; return the bytes of the response."""
    reader, writer = await asyncio.open_connection(vm.address, CLIENT_PORT)
    fixed = f"Host: {HOST}\r\n{ATTEMPT_ID}: raw{number}\r\nBasilhill-Deadline-Ms: {DEADLINE_MS}\r\n"
    writer.write(head + f" {path} HTTP/1.1\r\nConnection: close\r\n{fixed}".encode())
    with suppress(ConnectionError):
        for part in parts or (b"\r\n",):
            writer.write(part)
            await writer.drain()
    response = await reader.read()
    writer.close()
    return response


def build_endless_server(head: bytes, part: bytes):
    """Return a handler whose responses never end."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        attempt = request_head.lower().partition("basilhill-attempt-id: ")[2].split("\r\n")[0]
        writer.write(b"HTTP/1.1 200 OK\r\n" + f"{ATTEMPT_ID}: {attempt}\r\n".encode() + head)
        while True:
            writer.write(part)
            await writer.drain()

    return handle


ENDLESS_RESPONSES = {
    "tiny chunks": (b"Transfer-Encoding: chunked\r\n\r\n", TINY_CHUNKS),
    "large chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65_536 + b"\r\n",
    ),
    "no length": (b"\r\n", b"x" * 65_536),
}


@pytest.mark.parametrize("form", ENDLESS_RESPONSES)
async def test_endless_responses_do_not_take_the_memory_of_a_node(tmp_path, form):
    """Guard against a server whose endless response ends a node and with it the calls of others.

    A body in chunks of two bytes took 50 times its bytes in memory.
    """
    async with pressure(tmp_path) as running:
        async with raw_server(running.vm, build_endless_server(*ENDLESS_RESPONSES[form])):
            responses = await asyncio.gather(
                *(request(running.vm, b"GET", number=number) for number in range(4))
            )
        assert all(response.startswith(b"HTTP/1.1 50") for response in responses)
    assert running.peak_mb < MEMORY_MB
    assert set(running.statuses) == {200}


@pytest.mark.parametrize("size", [2, 4])
async def test_uploads_in_tiny_chunks_do_not_take_the_memory_of_a_node(tmp_path, size):
    """Guard against a request within the operator's limits that ends the node by its framing."""
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    parts = [b"Transfer-Encoding: chunked\r\n\r\n"]
    parts += [chunk * 4_096] * ((8 << 20) // size // 4_096) + [b"0\r\n\r\n"]
    async with pressure(tmp_path) as running:
        response = await request(running.vm, b"POST", *parts, path="/write/upload")
        assert response.startswith(b"HTTP/1.1 200")
    assert running.peak_mb < MEMORY_MB
    assert set(running.statuses) == {200}


def build_large_server(body_bytes: int | None):
    """Return a handler that reads bodies and answers each request with a large body.

    Without `body_bytes`, the last part of the path is the length of the response if it is a number.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            attempt = head.partition("basilhill-attempt-id: ")[2].split("\r\n")[0]
            left = int(head.partition("content-length: ")[2].split("\r\n")[0] or 0)
            while left:
                left -= len(await reader.read(min(left, PIECE_BYTES)))
            named = head.split(" ")[1].rpartition("/")[2]
            size = body_bytes or (int(named) if named.isdigit() else SMALL_BYTES)
            if size == SMALL_BYTES:
                await asyncio.sleep(SMALL_S)
            lines = ("HTTP/1.1 200 OK", f"{ATTEMPT_ID}: {attempt}", f"Content-Length: {size}")
            writer.write("\r\n".join([*lines, "", ""]).encode())
            # In pieces, so that the other servers of this process go on.
            for start in range(0, size, PIECE_BYTES):
                writer.write(bytes(min(PIECE_BYTES, size - start)))
                await writer.drain()

    return handle


async def request_until_run(vm: SoakVm, number: int) -> bytes:
    """Send a request again while it is refused as not run; return the bytes of its response."""
    while True:
        response = await request(vm, b"GET", number=number)
        if not response.startswith(b"HTTP/1.1 503"):
            return response
        await asyncio.sleep(RETRY_S)


async def test_many_large_answers_at_the_same_time_are_all_delivered(tmp_path):
    """Guard against answers that fail for lack of memory although their requests have run."""
    async with (
        pressure(tmp_path) as running,
        raw_server(running.vm, build_large_server(8 << 20)),
    ):
        running.fleet.register(running.vm, "ready", slots=20)
        await asyncio.sleep(1.5)
        answers = await asyncio.gather(
            *(request_until_run(running.vm, number) for number in range(20))
        )
        sizes = {(answer[:12], len(answer) >> 20) for answer in answers}
        assert sizes == {(b"HTTP/1.1 200", 8)}
        assert await metric(running.vm, "message_bytes") == 0
    assert running.peak_mb < MEMORY_MB
    assert set(running.statuses) == {200}


async def test_largest_uploads_at_the_same_time_are_all_delivered(tmp_path):
    """Guard against a node that two uploads within the operator's limit take out of memory."""
    parts = [b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES] + [bytes(1 << 20)] * 64
    async with (
        pressure(tmp_path) as running,
        raw_server(running.vm, build_large_server(2)),
    ):
        answers = await asyncio.gather(
            *(request(running.vm, b"POST", *parts, number=number) for number in range(3))
        )
        assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * 3
        assert await metric(running.vm, "message_bytes") == 0
    assert running.peak_mb < MEMORY_MB
    assert set(running.statuses) == {200}


def serve_large(address: str) -> None:
    """Run a server of large responses in a process of its own."""

    async def run() -> None:
        server = await asyncio.start_server(build_large_server(None), address, SERVER_PORT)
        await server.serve_forever()

    asyncio.run(run())


@define
class LargeCall:
    """Request with the lengths of its body and of its response."""

    sent_bytes: int
    response_bytes: int


def send_large(vm: SoakVm, calls: list[LargeCall]) -> list[tuple[bytes, int]]:
    """Send rounds of simultaneous requests; return each one's status line and body length."""

    async def send(number: int, call: LargeCall) -> tuple[bytes, int]:
        parts = [b"Content-Length: %d\r\n\r\n" % call.sent_bytes]
        parts += [bytes(PIECE_BYTES)] * (call.sent_bytes // PIECE_BYTES)
        path = f"/read/{call.response_bytes}"
        while True:
            response = await request(vm, b"POST", *parts, number=number, path=path)
            head, _, body = response.partition(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 503"):
                return head.partition(b"\r\n")[0], len(body)
            await asyncio.sleep(RETRY_S)

    async def send_all() -> list[tuple[bytes, int]]:
        responses = []
        for first in range(0, ROUNDS * len(calls), max(1, len(calls))):
            sent = (send(first + index, call) for index, call in enumerate(calls))
            responses += await asyncio.gather(*sent)
        return responses

    return asyncio.run(send_all())


@asynccontextmanager
async def large_servers(vms: list[SoakVm]):
    """Replace the servers of VMs by processes, which send large responses."""
    context = get_context("spawn")
    processes = [context.Process(target=serve_large, args=(vm.address,)) for vm in vms]
    for vm, process in zip(vms, processes, strict=True):
        await vm.runner.cleanup()
        process.start()
    try:
        for vm in vms:
            while True:
                with suppress(ConnectionError):
                    _, writer = await asyncio.open_connection(vm.address, SERVER_PORT)
                    writer.close()
                    break
                await asyncio.sleep(SAMPLE_S)
        yield
    finally:
        for process in processes:
            process.terminate()
            process.join()


def percentile_99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)]


@define
class Passage:
    """Result of large messages between nodes: peak memory and latencies of sound calls."""

    peak_mb: float
    calm_s: float
    loaded_s: float
    sound_statuses: Counter[int]
    took_s: float
    responses: list[tuple[bytes, int]]


async def pass_large(
    directory: Path, calls: list[LargeCall], node_paths: tuple[str, ...] = ()
) -> Passage:
    """Send large calls to the servers of two other VMs, beside sound calls to a third."""
    services = ("accounts", "deposits", "calendar", "calendar")
    async with (
        pressure(directory, LIMITS, services, LARGE_READS, node_paths) as running,
        # The process of the tests is too busy for the server of the sound calls.
        large_servers(running.fleet.vms[1:]),
    ):
        for vm in running.fleet.vms[2:]:
            running.fleet.register(vm, "ready", slots=20)
        await asyncio.sleep(1.5)
        with ProcessPoolExecutor(1, get_context("spawn")) as pool:
            loop = asyncio.get_running_loop()
            vm = SoakVm(1, running.vm.address, "", "", None, Path(), None, None)
            await loop.run_in_executor(pool, send_large, vm, [])
            # The servers of the VMs have been replaced meanwhile.
            running.statuses.clear()
            running.took_s.clear()
            await asyncio.sleep(CALM_S)
            calm_s = percentile_99(running.took_s)
            running.took_s.clear()
            started_s = time.perf_counter()
            responses = await loop.run_in_executor(pool, send_large, vm, calls)
            took_s = time.perf_counter() - started_s
            loaded_s = percentile_99(running.took_s)
        for node in running.fleet.vms:
            assert node.process.returncode is None
        await asyncio.sleep(RETRY_S)
        if not node_paths:
            for node in running.fleet.vms:
                assert await metric(node, "message_bytes") == 0
    passage = Passage(
        running.highest_mb, calm_s, loaded_s, Counter(running.statuses), took_s, responses
    )
    print(
        f"\npeak {passage.peak_mb:.0f} MB, p99 of sound calls {calm_s * 1e3:.1f} ms calm,"
        f" {loaded_s * 1e3:.1f} ms beside, statuses {dict(passage.sound_statuses)},"
        f" large {dict(Counter(responses))} in {took_s:.1f} s"
    )
    return passage


LARGE_CALLS = {
    "responses": [LargeCall(0, size) for size in PASSED_BYTES],
    "uploads": [LargeCall(size, 2) for size in PASSED_BYTES],
}


@pytest.mark.parametrize("case", LARGE_CALLS)
async def test_large_messages_between_nodes_are_in_the_account(tmp_path, case):
    """Guard against bodies from other VMs that together take a node out of memory."""
    calls = LARGE_CALLS[case]
    passage = await pass_large(tmp_path, calls)
    assert set(passage.sound_statuses) == {200}
    expected = [(b"HTTP/1.1 200 OK", call.response_bytes) for call in calls]
    assert passage.responses == expected * ROUNDS
    assert passage.peak_mb < MEMORY_MB
    assert passage.loaded_s < SLOWDOWN * passage.calm_s


async def test_large_items_of_other_writers_do_not_take_the_memory_of_a_node(tmp_path):
    """Guard against a node that holds all values of the store, or all changes, at the same time.

    The store shares the process of the backend servers, so the calls are not checked.
    """
    async with pressure(tmp_path) as running:
        store = running.fleet.store
        for number in range(300):
            store.put(f"servers/x-{number}", b"[" * STORED_BYTES)
        store.compact_history()
        await asyncio.sleep(5)
        for number in range(40):
            store.put(f"servers/y-{number}", b"[" * STORED_BYTES)
        await asyncio.sleep(3)
        running.fleet.change_route("/move/", service="deposits")
        async with asyncio.timeout(CONFIG_APPLY_S):
            while (  # noqa: ASYNC110 - a process has no event to wait for
                await metric(running.vm, "configuration_version") < running.fleet.version
            ):
                await asyncio.sleep(SAMPLE_S)
    assert running.peak_mb < MEMORY_MB
    for log in tmp_path.glob("*.log"):
        assert max(map(len, log.read_bytes().splitlines())) < LINE_BYTES


async def metric(vm: SoakVm, name: str) -> float:
    """Return a gauge of a node."""
    url = f"http://{vm.address}:{METRICS_PORT}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    (line,) = (line for line in text.splitlines() if line.startswith(f"basilhill_{name} "))
    return float(line.split()[1])


def build_header_server(header_bytes: int):
    """Return a handler whose responses each have one long header that does not repeat."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            attempt = head.partition("basilhill-attempt-id: ")[2].split("\r\n")[0]
            value = attempt.rjust(header_bytes, "x")
            lines = ("HTTP/1.1 200 OK", f"{ATTEMPT_ID}: {attempt}", f"X: {value}")
            writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())

    return handle


async def test_idle_connections_hold_nothing_of_what_they_carried(tmp_path):
    """Guard against a node that keeps the last body of each connection which stays open."""
    async with pressure(tmp_path) as running, raw_server(running.vm, build_large_server(8 << 20)):
        vm, opened = running.vm, []
        rest_mb = memory_mb(vm)
        for number in range(30):
            opened.append(await asyncio.open_connection(vm.address, CLIENT_PORT, limit=1 << 20))
            reader, writer = opened[-1]
            head = f"POST /read/{number} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: raw{number}\r\n"
            head += f"Basilhill-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {8 << 20}\r\n\r\n"
            writer.write(head.encode() + bytes(8 << 20))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            await reader.readexactly(8 << 20)
        await asyncio.sleep(0.2)
        assert memory_mb(vm) < rest_mb + AT_REST_MB
        for _, writer in opened:
            writer.close()
    assert set(running.statuses) == {200}


async def test_long_headers_are_not_kept(tmp_path):
    """Guard against a node that remembers headers which servers choose, up to 64 KB each."""
    async with pressure(tmp_path) as running, raw_server(running.vm, build_header_server(48_000)):
        await request_all(running.vm, range(100))
        rest_mb = memory_mb(running.vm)
        await request_all(running.vm, range(100, 2_500))
        assert memory_mb(running.vm) < rest_mb + AT_REST_MB


async def request_all(vm: SoakVm, numbers: range) -> None:
    """Send requests one after the other on a connection, and read their responses."""
    reader, writer = await asyncio.open_connection(vm.address, CLIENT_PORT, limit=1 << 20)
    for number in numbers:
        writer.write(
            f"GET /read/{number} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: raw{number}\r\n"
            f"Basilhill-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
    writer.close()


async def read_slowly(reader: asyncio.StreamReader, size: int) -> int:
    """Read a body at `SLOW_BYTES_PER_S`; return how many of its bytes arrived."""
    received, started_s = 0, time.monotonic()
    while received < size and (part := await reader.read(64 << 10)):
        received += len(part)
        await asyncio.sleep(max(0, started_s + received / SLOW_BYTES_PER_S - time.monotonic()))
    return received


async def test_stopping_node_sends_its_response_to_a_slow_reader(tmp_path):
    """Guard against a complete response that is cut because its node ends before it is sent.

    The client reads steadily and has all bytes long before the end of the grace time.
    """
    size, grace_s = 32 << 20, 10
    async with pressure(tmp_path) as running, raw_server(running.vm, build_large_server(size)):
        vm = running.vm
        running.fleet.write_settings(vm, retry_ratio=0.1, grace_s=grace_s)
        running.fleet.signal(vm, signal.SIGHUP)
        reader, writer = await asyncio.open_connection(vm.address, CLIENT_PORT, limit=64 << 10)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        writer.write(
            f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: slow\r\n"
            f"Basilhill-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        running.stopped = True
        running.fleet.signal(vm, signal.SIGTERM)
        async with asyncio.timeout(grace_s):
            assert await read_slowly(reader, size) == size
            assert await vm.process.wait() == 0
        writer.close()
