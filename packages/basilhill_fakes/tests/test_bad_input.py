"""Tests of malformed input at a running node.

Each request gets a correct execution status within a limit, and the node keeps serving.
"""

import asyncio
import select
import socket
import time
from base64 import urlsafe_b64encode
from pathlib import Path

import pytest
import pytest_asyncio
from basilhill_fakes.history import EventKind, read_history
from basilhill_fakes.processes import Fleet, new_fleet
from basilhill_fakes.topology import ADMINISTRATION_PORT, CLIENT_PORT, PEER_PORT
from basilhill_fakes.workloads import WORKLOADS
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

ROOT = Path(__file__).parents[3]
CONNECTIONS = 12
REQUEST_MS = 700

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet(tmp_path_factory):
    workload = WORKLOADS["webshop"]
    counts = {"catalogue": 0, "checkout": 0, "warehouse": 1, "ledger": 0}
    limits = {"request_ms": REQUEST_MS, "body_limit": 20_000, "administration_token": "secret"}
    fleet = new_fleet(workload, tmp_path_factory.mktemp("fleet"), counts=counts, settings=limits)
    document = (ROOT / workload.document).read_text()
    document = document.replace("connections = 1400", f"connections = {CONNECTIONS}")
    try:
        await fleet.start(document)
        yield fleet
    finally:
        await fleet.stop()


def node_address(fleet: Fleet, port: int = CLIENT_PORT) -> tuple[str, int]:
    return fleet.topology.vms[0].address, port


def send_parts(
    endpoint: tuple[str, int], *parts: bytes, pause_s: float = 0.0, timeout_s: float = 5.0
) -> bytes:
    """Send parts of a request until a response starts; return the whole response."""
    with socket.create_connection(endpoint, timeout=timeout_s) as connection:
        response = b""
        try:
            for part in parts:
                connection.sendall(part)
                # Data sent after the response would reset the connection and lose the response.
                if select.select([connection], [], [], pause_s)[0]:
                    break
            while received := connection.recv(65_536):
                response += received
        except (ConnectionError, TimeoutError):
            pass
        return response


def build_request(line: bytes, *headers: bytes, body: bytes = b"") -> bytes:
    return b"\r\n".join([line + b" HTTP/1.1", b"connection: close", *headers, b"", body])


def parse_status(response: bytes) -> tuple[int, str]:
    head = response.partition(b"\r\n\r\n")[0].decode("latin-1").lower().split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if ": " in line)
    return int(head[0].split()[1]), fields.get("basilhill-verdict", "")


FOREIGN_TOKEN = b"basilhill-token: " + urlsafe_b64encode(b"203.0.113.1:80/abc/1/2/00ff")

REFUSED_REQUESTS = {
    "unknown service": (build_request(b"GET /none/stock"), 404),
    "unknown path": (build_request(b"GET /warehouse/none"), 404),
    "no path": (build_request(b"GET /warehouse"), 404),
    "not an entry": (build_request(b"POST /warehouse/reservations"), 404),
    "method": (build_request(b"BREW /warehouse/stock"), 405),
    "traversal": (build_request(b"GET /warehouse/stock/../reservations"), 400),
    "encoded traversal": (build_request(b"GET /warehouse/stock/%2e%2e/reservations"), 400),
    "encoded slash": (build_request(b"GET /warehouse/stock%2Fx"), 400),
    "broken escape": (build_request(b"GET /warehouse/stock/%zz"), 400),
    "path not ASCII": (build_request(b"GET /warehouse/\xff\xfe"), 400),
    "header not UTF-8": (build_request(b"GET /warehouse/stock", b"x-a: \xff\xfe"), 400),
    "control character": (build_request(b"GET /warehouse/stock", b"x-a: b\nx-c: d"), 400),
    "token": (build_request(b"GET /warehouse/stock", b"basilhill-token: x" + b"y" * 400), 400),
    "context": (build_request(b"GET /warehouse/stock", b"basilhill-context: a/b"), 400),
    "foreign token": (build_request(b"POST /warehouse/reservations", FOREIGN_TOKEN), 503),
    "unknown parent": (build_request(b"GET /warehouse/stock", b"basilhill-context: a/b/c"), 503),
    "attempt": (build_request(b"GET /warehouse/stock", b"basilhill-attempt: -1"), 400),
    "timeout": (build_request(b"GET /warehouse/stock", b"basilhill-timeout-ms: 9999999999"), 400),
    "large header": (build_request(b"GET /warehouse/stock", b"x-a: " + b"y" * 9_000), 431),
    "large body": (build_request(b"GET /warehouse/stock", b"content-length: 30000"), 413),
    "two lengths": (
        build_request(b"GET /warehouse/stock", b"content-length: 1", b"content-length: 2"),
        400,
    ),
    "length": (build_request(b"GET /warehouse/stock", b"content-length: -5"), 400),
    "no HTTP": (b"hello\r\n\r\n", 400),
    "version": (b"GET /warehouse/stock HTTP/9.9\r\n\r\n", 400),
}


@pytest.mark.parametrize("case", REFUSED_REQUESTS)
async def test_malformed_request_is_refused_as_not_run(fleet, case):
    """Guard against a wrong HTTP status or a missing "not run" for a malformed request."""
    request, status = REFUSED_REQUESTS[case]
    response = await asyncio.to_thread(send_parts, node_address(fleet), request)
    assert parse_status(response) == (status, "not-run")


async def test_repeated_attempt_with_a_token_of_an_unknown_node_may_have_run(fleet):
    """Guard against a false "not run": the first attempt may have run at another node."""
    headers = (FOREIGN_TOKEN, b"basilhill-attempt: 1")
    request = build_request(b"POST /warehouse/reservations", *headers)
    response = await asyncio.to_thread(send_parts, node_address(fleet), request)
    assert parse_status(response) == (502, "may-have-run")


async def test_chunked_body_beyond_the_limit_is_refused(fleet):
    """Guard against an unlimited body from a caller that sends no content length."""
    head = build_request(b"GET /warehouse/stock", b"transfer-encoding: chunked")
    chunks = [b"1000\r\n" + b"x" * 4_096 + b"\r\n"] * 8
    response = await asyncio.to_thread(send_parts, node_address(fleet), head, *chunks)
    assert parse_status(response) == (413, "not-run")


SLOW_REQUESTS = {
    "header": (b"GET /ware", 502, "may-have-run"),
    "body": (build_request(b"GET /warehouse/stock", b"content-length: 99"), 408, "not-run"),
    "body of a copy": (
        build_request(b"POST /warehouse/reservations", FOREIGN_TOKEN, b"content-length: 99"),
        502,
        "may-have-run",
    ),
}


@pytest.mark.parametrize("case", SLOW_REQUESTS)
async def test_slow_sender_gets_no_extra_time(fleet, case):
    """Guard against connections that stay open while a caller sends a request byte by byte.

    Also guards against a false "not run" for a repeated attempt of a call that ran.
    """
    first, status, verdict = SLOW_REQUESTS[case]
    started = time.monotonic()
    slow = [b"x"] * 40
    response = await asyncio.to_thread(send_parts, node_address(fleet), first, *slow, pause_s=0.1)
    assert parse_status(response) == (status, verdict)
    assert time.monotonic() - started < 5


async def test_connections_beyond_the_limit_are_refused_until_others_end(fleet):
    """Guard against more connections than the document allows.

    Also guards against a false "not run": the node refuses the connection before it reads the
    request, which may repeat a call that ran.
    """
    endpoint = node_address(fleet)
    idle = [socket.create_connection(endpoint) for _ in range(CONNECTIONS)]
    await asyncio.sleep(0.2)
    refused = await asyncio.to_thread(send_parts, endpoint, build_request(b"GET /warehouse/stock"))
    idle[0].shutdown(socket.SHUT_WR)  # the node closes a half-closed connection
    await asyncio.sleep(0.2)
    served = await asyncio.to_thread(send_parts, endpoint, build_request(b"GET /warehouse/stock"))
    for connection in idle:
        connection.close()
    await asyncio.sleep(0.2)
    assert parse_status(refused) == (502, "may-have-run")
    assert parse_status(served) == (200, "answered")


async def test_administration_api_requires_the_token(fleet):
    """Guard against access without the token, and against a failure on bad or oversized headers."""
    endpoint = node_address(fleet, ADMINISTRATION_PORT)
    for headers, status in (
        ((), b"401"),
        ((b"authorization: Bearer \xff",), b"401"),
        ((b"authorization: Bearer secret",), b"200"),
        ((b"authorization: Bearer secret", b"x-a: " + b"y" * 9_000), b"401"),
    ):
        request = build_request(b"GET /status", *headers)
        response = await asyncio.to_thread(send_parts, endpoint, request)
        assert response.split()[1] == status


async def test_administration_api_serves_each_documented_path_read_only(fleet):
    """Guard against documented paths that are missing, and against methods that change state."""
    url = fleet.topology.vms[0].administration_url
    headers = {"Authorization": "Bearer secret"}
    async with fleet.session.get(f"{url}/openapi.json", headers=headers) as response:
        paths = (await response.json())["paths"]
    for path in paths:
        path_url = url + path.replace("{action}", "0123")
        async with fleet.session.get(path_url, headers=headers) as response:
            assert response.status == 200
        for method in ("POST", "PUT", "DELETE"):
            async with fleet.session.request(method, path_url, headers=headers) as response:
                assert response.status == 405


RANDOM_BYTES = st.binary(min_size=1, max_size=40).map(lambda value: value.replace(b"\r\n", b""))
REQUEST_LINES = st.one_of(
    st.sampled_from(
        [b"GET /warehouse/stock", b"POST /warehouse/reservations", b"HEAD /warehouse/stock"]
    ),
    st.builds(
        lambda a, b: a + b" /warehouse/" + b, st.sampled_from([b"GET", b"PUT"]), RANDOM_BYTES
    ),
)
HEADER_NAMES = st.sampled_from(
    [b"basilhill-token", b"basilhill-context", b"basilhill-attempt", b"basilhill-call-number",
     b"basilhill-timeout-ms", b"content-length", b"transfer-encoding", b"expect", b"x-a", b"host"]
)  # fmt: skip
REQUESTS = st.builds(
    lambda line, headers, body: build_request(
        line, *(n + b": " + v for n, v in headers), body=body
    ),
    REQUEST_LINES,
    st.lists(st.tuples(HEADER_NAMES, RANDOM_BYTES), max_size=4),
    st.binary(max_size=60),
)


async def test_no_input_stops_a_node_or_gets_a_response_without_status(fleet):
    """Guard against input that stops the node, starts a write or gets no execution status."""
    endpoint = node_address(fleet)

    @settings(max_examples=100, deadline=None, suppress_health_check=list(HealthCheck))
    @given(st.one_of(REQUESTS, st.binary(min_size=1, max_size=200)))
    def send(data: bytes) -> None:
        # Incomplete requests get no response within the short timeout, and are not checked here.
        response = send_parts(endpoint, data, timeout_s=0.2)
        if response:
            assert parse_status(response.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n"))[1]

    await asyncio.to_thread(send)
    response = await asyncio.to_thread(send_parts, endpoint, build_request(b"GET /warehouse/stock"))
    assert parse_status(response) == (200, "answered")
    runs = [e for e in read_history(fleet.history) if e.kind is EventKind.RUN_STARTED]
    assert not [event for event in runs if event.call == "warehouse.reserve"]


async def test_garbage_at_the_peer_port_does_not_stop_the_node(fleet):
    """Guard against a node that stops serving callers after invalid HTTP/2 at its peer port."""
    for garbage in (
        b"\x00" * 5_000,
        b"GET / HTTP/1.1\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff" * 20,
    ):
        await asyncio.to_thread(send_parts, node_address(fleet, PEER_PORT), garbage, timeout_s=0.3)
    request = build_request(b"GET /warehouse/stock")
    response = await asyncio.to_thread(send_parts, node_address(fleet), request)
    assert parse_status(response) == (200, "answered")
