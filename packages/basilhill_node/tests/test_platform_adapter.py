"""Tests of the decoding and encoding of platform messages, including malformed ones."""

import json

import msgspec
import pytest
from basilhill.outcomes import ExecutionStatus, Header, Reason, may_have_run, not_run
from basilhill_node.platform.configuration import decode_configuration
from basilhill_node.platform.entries import decode_entry
from basilhill_node.platform.http import PlatformDialect
from basilhill_node.platform.settings import decode_settings
from basilhill_node.platform.store import decode_item, decode_page
from basilhill_node.sidecar.dialect import CallerIdentity, ServerMetadata
from basilhill_node.sidecar.frames import (
    FrameKind,
    FrameReader,
    decode_entry_row,
    encode_entry,
    encode_frame,
)
from basilhill_node.sidecar.http_client import IDLE_MS, keep_alive_ms
from basilhill_node.sidecar.messages import HttpRequest, HttpResponse, header_value
from basilhill_node.sidecar.store import StoreFailedError
from hypothesis import given, settings
from hypothesis import strategies as st

SETTINGS = {
    "self": {
        "nodeName": "sidecar-a-1",
        "ip": "10.1.0.8",
        "zone": "a",
        "service": "calendar",
        "appAddr": "10.1.0.8:8301",
    },
    "network": {
        "listen": {
            "inbound": "10.1.0.8:8300",
            "outbound": "10.1.0.8:8304",
            "ready": "10.1.0.8:8302",
        },
        "portRange": [7620, 7635],
    },
    "platform": {"platform": {"address": "10.200.1.7:8309", "historyS": 20}},
    "terms": {
        "bounds": {
            "graceS": 6.0,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetMinRetries": 48,
        }
    },
}
PATHS = [
    {
        "name": "r-1",
        "prefix": "/a/",
        "kind": "idempotent",
        "timeoutS": 5,
        "targetLatencyS": 1.2,
        "priority": 2,
        "trafficSplit": [
            {"service": "calendar", "weight": 90},
            {"service": "flavours", "weight": 10},
        ],
        "attempts": 2,
    },
    {
        "name": "r-2",
        "prefix": "/a/b/",
        "kind": "non_idempotent",
        "timeoutS": 0.8,
        "targetLatencyS": 1.5,
        "priority": 0,
        "service": "deposits",
        "attempts": 1,
    },
]
CONFIGURATION = {
    "version": "0000001f",
    "services": [{"name": "calendar", "healthPath": "/health", "maxConnections": 538}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "virtualHosts": [{"host": "shop.example", "paths": PATHS}],
}
ENTRY = {
    "service": "calendar",
    "address": "10.1.0.8:8301",
    "zone": "a",
    "version": "v1",
    "slots": 73,
    "state": "ready",
    "coldRemainingS": 1.5,
    "sequence": 4,
    "born": 1777091799000,
}


def encoded(table) -> bytes:
    return msgspec.json.encode(table)


def test_settings_are_decoded_into_milliseconds():
    """Guard against seconds used as milliseconds, and values read from the wrong keys."""
    settings = decode_settings(encoded(SETTINGS)).ok
    assert (settings.service, settings.grace_ms, settings.client_port) == ("calendar", 6000, 8304)
    assert settings.store_address == "10.200.1.7:8309"


@pytest.mark.parametrize("data", [b"", b"{", b"[]", encoded({**SETTINGS, "terms": {}})])
def test_invalid_settings_are_refused_with_a_reason(data):
    """Guard against a traceback, or a start with defaults, when the settings file is invalid."""
    assert decode_settings(data).error


def test_all_problems_of_settings_are_reported_together():
    """Guard against an operator who has to fix the settings one start at a time."""
    table = {
        **SETTINGS,
        "self": {**SETTINGS["self"], "ip": 7},
        "terms": {"bounds": {"graceS": "6", "retryBudgetRatio": -1, "budgetWindowS": 10}},
        "platform": {"platform": {"address": "10.200.1.7"}},
    }
    problems = decode_settings(encoded(table)).error
    for part in (
        "self.ip is 7, not a string",
        "terms.bounds.graceS is '6', not a number",
        "terms.bounds.retryBudgetRatio is -1",
        "terms.bounds.budgetMinRetries is missing",
        "platform.platform.address is '10.200.1.7', not HOST:PORT",
    ):
        assert part in problems


def test_configuration_is_decoded():
    """Guard against configuration fields read with wrong units, order or defaults."""
    found = decode_configuration(encoded(CONFIGURATION)).ok
    assert found.version == 31
    second, first = found.routes["shop.example"]
    assert (first.name, first.idempotent, first.timeout_ms, first.attempts) == (
        "r-1",
        True,
        5000,
        2,
    )
    assert [part.service for part in first.services] == ["calendar", "flavours"]
    assert (second.name, second.idempotent, second.priority) == ("r-2", False, 0)
    assert found.limits.idle_ms == 15_000


def test_host_matches_in_any_case():
    """Guard against a route that answers 404 because its host was written with capitals."""
    hosts = [{"host": "Shop.Example", "paths": PATHS}]
    found = decode_configuration(encoded(CONFIGURATION | {"virtualHosts": hosts})).ok
    request = HttpRequest("GET", "/", [Header("host", "sHOP.example:80")])
    host = PlatformDialect().decode_metadata(request).host
    assert len(found.routes[host]) == len(PATHS)


@pytest.mark.parametrize("missing", ["version", "virtualHosts", "limits"])
def test_incomplete_configuration_is_refused(missing):
    """Guard against the activation of a partial configuration."""
    table = {key: value for key, value in CONFIGURATION.items() if key != missing}
    assert missing in decode_configuration(encoded(table)).error


def test_entry_is_decoded_with_the_clock_of_the_node():
    """Guard against a ramp-up time that depends on the clock of another VM."""
    entry = decode_entry("i-1", encoded(ENTRY), now_ms=1_000).ok
    assert (entry.server_id, entry.slots, entry.warm_until_ms, entry.draining) == (
        "i-1",
        73,
        2_500,
        False,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"state": "paused"},
        {"slots": "many"},
        {"slots": 0},
        {"address": None},
        {"address": "nowhere"},
        {"service": 7},
        {"coldRemainingS": None},
        {"version": 1},
        {"sequence": "4"},
        {"sequence": 4.5},
        {"born": "now"},
    ],
)
def test_invalid_entry_is_refused(change):
    """Guard against an entry with invalid fields, as another client may write it."""
    assert "i-1" in decode_entry("i-1", encoded({**ENTRY, **change}), 0).error


@pytest.mark.parametrize("name", sorted(ENTRY.keys() - {"born"}))
def test_entry_without_one_of_the_fields_of_a_server_is_refused(name):
    """Guard against an entry of another writer that puts a leaving server in use again."""
    table = {key: value for key, value in ENTRY.items() if key != name}
    assert name in decode_entry("i-1", encoded(table), 0).error


@pytest.mark.parametrize("data", [b"", b"\xff", b"[1]", b"null"])
def test_unreadable_entry_is_refused(data):
    """Guard against an exception on an entry that is no JSON table."""
    assert decode_entry("i-1", data, 0).is_error()


def test_item_with_invalid_base64_has_an_empty_value():
    """Guard against one corrupt value that makes the whole store unreadable."""
    assert decode_item({"key": "servers/i-1", "value": "?", "revision": 4}).value == b""
    assert decode_item({"key": "servers/i-1", "revision": 4, "removed": True}).value is None


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"asOf": "x"}'])
def test_malformed_store_response_is_a_failure(body):
    """Guard against a malformed page that ends the task that follows the store."""
    with pytest.raises(StoreFailedError):
        decode_page(body)


def test_request_metadata_is_decoded():
    """Guard against a wrong host, deadline or parent, and a malformed deadline that is ignored."""
    dialect = PlatformDialect()
    headers = [
        Header("host", "Shop.Example:80"),
        Header("basilhill-attempt-id", "ab.cd"),
        Header("basilhill-deadline-ms", "250"),
    ]
    metadata = dialect.decode_metadata(HttpRequest("GET", "/a/", headers))
    assert (metadata.host, metadata.deadline_ms, metadata.parent_id) == ("shop.example", 250, "ab")
    bad = [Header("basilhill-deadline-ms", "soon")]
    assert "soon" in dialect.decode_metadata(HttpRequest("GET", "/a/", bad)).problem


def test_caller_service_of_the_client_is_replaced():
    """Guard against a client that sends the name of another service."""
    dialect = PlatformDialect()
    request = HttpRequest(
        "GET",
        "/a/",
        [
            Header("basilhill-caller-service", "forged"),
            Header("connection", "x-hop"),
            Header("x-hop", "1"),
            Header("accept", "*/*"),
        ],
    )
    headers = dialect.server_headers(
        dialect.client_headers(request, CallerIdentity()), ServerMetadata("id", 250, "i-1", "own")
    )
    assert header_value(headers, "basilhill-caller-service") == "own"
    assert [header.name for header in headers][:1] == ["accept"]
    assert header_value(headers, "x-hop") is None


def test_only_explicit_refusals_count_as_not_run():
    """Guard against a retry of a request that ran, since a plain 503 may come after a run."""
    dialect = PlatformDialect()
    not_executed = HttpResponse(503, [Header("basilhill-not-executed", "1")])
    assert dialect.decode_answer(not_executed).error.execution_status is ExecutionStatus.NOT_RUN
    assert dialect.decode_answer(HttpResponse(503)).ok.status == 503
    assert dialect.decode_answer(HttpResponse(421)).error.reason is Reason.MISDIRECTED


@pytest.mark.parametrize(
    ("refusal", "status", "retry_after"),
    [
        (not_run(Reason.OVERLOADED, "full", 250), 503, "0.250"),
        (not_run(Reason.UNKNOWN_CALL, "no route"), 404, None),
        (may_have_run(Reason.CONNECTION_LOST, "gone"), 502, None),
        (may_have_run(Reason.DEADLINE, "late"), 504, None),
    ],
)
def test_status_matches_execution_status(refusal, status, retry_after):
    """Guard against a status that claims that a request did not run although it may have run."""
    response = PlatformDialect().encode_refusal(refusal, "id")
    assert response.status == status
    assert header_value(response.headers, "retry-after") == retry_after


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b'{"asOf": 3}',
        b'{"items": [{}], "hasMore": false, "asOf": 3}',
        b'{"items": [3], "hasMore": false, "asOf": 3}',
        b'{"items": null, "asOf": 3}',
        b'{"events": [{"key": "servers/a", "revision": "x"}], "asOf": 3}',
    ],
)
def test_malformed_page_of_the_store_is_a_failure_of_the_store(body):
    """Guard against an error that ends the task which follows the store."""
    with pytest.raises(StoreFailedError):
        decode_page(body)


# Input that makes a decoder, or the first sum of its numbers, fail with different errors.
FOREIGN_JSON = (
    b"[" * 2_000,
    b'{"a":' * 2_000,
    b"1" * 5_000,
    b"1e308",
    b"-1e308",
    b"1e400",
    b"NaN",
    b"1" * 40,
    b"-5",
    b"0.5",
    b"true",
    b"null",
    b'""',
    b'"\\ud800"',
    b'"a\\u0000b"',
    b'"' + b"x" * 60_000 + b'"',
    b"[]",
    b"{}",
    b"\xff\xfe",
)
FOREIGN_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None), max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def replaced(table: dict, name: str, value: bytes) -> bytes:
    """Return a table as JSON with a field replaced by bytes."""
    return json.dumps({**table, name: "VALUE"}).encode().replace(b'"VALUE"', value)


def assert_entry_is_usable_or_refused(data: bytes) -> None:
    """Fail if an entry is neither refused nor usable by the node and by the peers that get it."""
    result = decode_entry("i-1", data, 1_000)
    if result.is_ok():
        frame = encode_frame(FrameKind.FEED, 1, 0, False, b"", [encode_entry(result.ok, 1_000)], [])
        ((_, fields),) = FrameReader().feed(frame)
        assert decode_entry_row(fields[4][0], 1_000) == result.ok
        json.dumps(result.ok.service).encode()


@pytest.mark.parametrize("value", FOREIGN_JSON)
def test_foreign_values_do_not_end_the_reading_of_the_store(value):
    """Guard against an entry or configuration whose error leaves its decoder.

    The RecursionError of a nested entry once stopped all changes: nodes kept an old configuration.
    """
    assert decode_entry("i-1", value, 0).is_error()
    assert decode_configuration(value).is_error()
    assert decode_settings(value).is_error()
    for name in ENTRY:
        assert_entry_is_usable_or_refused(replaced(ENTRY, name, value))
    for table, name in ((CONFIGURATION, "version"), (CONFIGURATION, "limits")):
        assert decode_configuration(replaced(table, name, value)).is_error()
    for name in PATHS[1]:
        path = replaced(PATHS[1], name, value)
        decode_configuration(replaced(CONFIGURATION, "virtualHosts", b"[%s]" % path))
        host = b'{"host": "shop.example", "paths": [%s]}' % path
        decode_configuration(replaced(CONFIGURATION, "virtualHosts", b"[%s]" % host))
    with pytest.raises(StoreFailedError):
        decode_page(value)
    with pytest.raises(StoreFailedError):
        decode_page(replaced({"items": [], "hasMore": False}, "items", value))


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.dictionaries(st.sampled_from(sorted(ENTRY)), FOREIGN_VALUES))
def test_any_field_of_an_entry_may_have_any_value(changes):
    """Guard against a value that only a later step cannot use, such as a frame to a peer."""
    assert_entry_is_usable_or_refused(json.dumps({**ENTRY, **changes}).encode())


@pytest.mark.parametrize("value", [b"1e308", b"1" * 5_000, b"-1", b"NaN", b'"6"', b"[" * 2_000])
def test_settings_out_of_range_are_refused(value):
    """Guard against a settings file that ends the task which reloads it."""
    bounds = replaced(SETTINGS["terms"]["bounds"], "graceS", value)
    terms = b'{"bounds": %s}' % bounds
    assert decode_settings(replaced(SETTINGS, "terms", terms)).is_error()


def test_unreadable_keep_alive_header_is_ignored():
    """Guard against a response that is lost because of a header about its connection."""
    for value in ("timeout=\xb2", "timeout=" + "9" * 5_000, "timeout=", "timeout=-1"):
        assert keep_alive_ms([Header("keep-alive", value)]) == IDLE_MS
    assert keep_alive_ms([Header("keep-alive", "max=5, timeout=3")]) == 2_500
