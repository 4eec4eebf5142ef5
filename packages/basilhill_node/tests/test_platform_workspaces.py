"""Tests of the decoding of tenants and credentials, including malformed ones."""

import json

import pytest
from basilhill.outcomes import Header, Reason, not_run
from basilhill.queries.workspaces import find_workspace
from basilhill.workspaces import Credentials, RequestQuota
from basilhill_node.platform.configuration import decode_configuration
from basilhill_node.platform.http import PlatformDialect, decode_credentials
from basilhill_node.sidecar.dialect import CallerIdentity
from basilhill_node.sidecar.messages import HttpRequest, header_value
from hypothesis import given
from hypothesis import strategies as st

KEY = "s3cr3tKeyOfShop"
TENANT = {"name": "shop", "apiKeys": [KEY], "priority": 2, "ratePerS": 10, "burst": 5}
ROUTE = {
    "name": "r",
    "prefix": "/a/",
    "kind": "idempotent",
    "attempts": 1,
    "timeoutS": 1,
    "targetLatencyS": 0.5,
    "priority": 1,
    "service": "calendar",
}
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 1_000,
    "headerTimeoutS": 3,
    "idleTimeoutS": 15,
}


def decode(tenants, route=None):
    """Return the result of decoding a configuration with these tenants."""
    return decode_configuration(encode(tenants, route))


def encode(tenants, route=None) -> bytes:
    hosts = [{"host": "h", "paths": [ROUTE | (route or {})]}]
    table = {"version": "00000001", "limits": LIMITS, "virtualHosts": hosts}
    return json.dumps(table | {"tenants": tenants}).encode()


def test_tenants_are_decoded_with_their_keys_and_quota():
    table = decode([TENANT, {"name": "free", "apiKeys": ["k2", "k3"]}]).ok.workspaces
    shop = find_workspace(table, KEY)
    assert (shop.name, shop.priority, shop.quota) == ("shop", 2, RequestQuota(10.0, 5.0))
    assert find_workspace(table, "k3").quota is None
    assert find_workspace(table, "k") is None
    assert KEY not in repr(table)


@pytest.mark.parametrize("tenants", [None, []])
def test_configuration_without_tenants_has_no_workspaces(tenants):
    assert decode(tenants).ok.workspaces is None


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"ratePerS": -1}, "ratePerS"),
        ({"ratePerS": 1e300}, "ratePerS"),
        ({"ratePerS": "10"}, "ratePerS"),
        ({"ratePerS": True}, "ratePerS"),
        ({"burst": -5}, "burst"),
        ({"priority": 1.5}, "priority"),
        ({"priority": -1}, "priority"),
        ({"name": ""}, "name"),
        ({"name": "two\nlines"}, "name"),
        ({"name": "n" * 300}, "name"),
        ({"apiKeys": None}, "keys"),
        ({"apiKeys": KEY}, "keys"),
        ({"apiKeys": [KEY, ""]}, "key 2"),
        ({"apiKeys": [KEY + "\r\nX: 1"]}, "key 1"),
        ({"apiKeys": [7]}, "key 1"),
    ],
)
def test_malformed_tenant_refuses_the_version_and_quotes_no_key(changes, text):
    """Guard against a part of a version in force, and against keys in the log."""
    error = decode([TENANT | changes]).error
    assert text in error and KEY not in error


@pytest.mark.parametrize(
    "second", [TENANT | {"apiKeys": ["k2"]}, {"name": "other", "apiKeys": [KEY]}]
)
def test_names_and_keys_are_unique(second):
    error = decode([TENANT, second]).error
    assert "shop" in error and KEY not in error


@given(st.recursive(st.none() | st.integers() | st.text(), lambda x: st.lists(x) | st.dictionaries(
    st.sampled_from(["name", "apiKeys", "priority", "ratePerS", "burst"]), x)))  # fmt: skip
def test_any_value_of_tenants_is_decoded_or_refused(tenants):
    result = decode(tenants)
    assert result.is_error() or result.ok.version == 1


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [("idempotent", True), ("download", True), ("non_idempotent", False), ("upload", False)],
)
def test_kind_says_whether_a_request_may_run_again(kind, idempotent):
    """Guard against uploads that run twice and downloads that no second server may serve."""
    assert decode([], {"kind": kind}).ok.routes["h"][0].idempotent is idempotent


@pytest.mark.parametrize("kind", ["stream", "", None, 1])
def test_unknown_kind_refuses_the_version(kind):
    assert "kind is" in decode([], {"kind": kind}).error


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], Credentials()),
        ([f"Token {KEY}"], Credentials(KEY)),
        ([f"  token   {KEY} "], Credentials(KEY)),
        ([f"Basic {KEY}"], Credentials()),
        ([KEY], Credentials()),
        ([""], Credentials()),
        (["Token"], Credentials("")),
        (["Token " + "x" * 16_000], Credentials("x" * 16_000)),
        (["Token a\x01b"], Credentials("a\x01b")),
    ],
)
def test_credentials_are_the_key_of_one_header(values, expected):
    headers = [Header("authorization", value) for value in values]
    assert decode_credentials(HttpRequest("GET", "/", headers)) == expected


@pytest.mark.parametrize("second", [KEY, "other"])
def test_two_keys_are_a_problem_that_quotes_none(second):
    headers = [Header("authorization", f"Token {key}") for key in (KEY, second)]
    credentials = decode_credentials(HttpRequest("GET", "/", headers))
    assert credentials.key is None and credentials.problem and KEY not in credentials.problem


@given(st.text(max_size=40))
def test_any_credentials_name_at_most_the_holder_of_the_key(text):
    table = decode([TENANT]).ok.workspaces
    credentials = decode_credentials(HttpRequest("GET", "/", [Header("authorization", text)]))
    if credentials.key is not None and credentials.key != KEY:
        assert find_workspace(table, credentials.key) is None


@pytest.mark.parametrize(
    ("identity", "expected"),
    [
        (CallerIdentity(), {"authorization": f"Token {KEY}"}),
        (CallerIdentity("", True), {}),
        (CallerIdentity("shop", True), {"basilhill-tenant": "shop"}),
    ],
)
def test_only_the_system_names_the_workspace(identity, expected):
    headers = [Header("authorization", f"Token {KEY}"), Header("basilhill-tenant", "claimed")]
    forwarded = PlatformDialect().client_headers(HttpRequest("GET", "/", headers), identity)
    assert {header.name: header.value for header in forwarded} == expected


@pytest.mark.parametrize(
    ("reason", "status", "names"),
    [
        (Reason.UNAUTHENTICATED, 401, {"www-authenticate"}),
        (Reason.QUOTA_EXCEEDED, 429, {"retry-after"}),
        (Reason.PARENT_GONE, 503, {"retry-after"}),
    ],
)
def test_refusals_have_their_status_and_headers(reason, status, names):
    response = PlatformDialect().encode_refusal(not_run(reason, "text", 250), "")
    assert response.status == status
    assert {header.name for header in response.headers} == names
    assert header_value(response.headers, "retry-after") in (None, "0.250")
