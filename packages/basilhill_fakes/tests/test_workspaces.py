"""End-to-end tests of API keys and request quotas with whole nodes on loopback."""

import asyncio

import pytest
from basilhill_fakes.sidecar_fleet import (
    CLIENT_PORT,
    HOST,
    SidecarFleet,
    build_configuration,
    build_route,
    build_tenant,
)
from basilhill_node.sidecar.state import RunningCall

READS = build_route("r-read", "/read/", "calendar")
OPEN = build_route("r-open", "/open/", "calendar", public=True)
KEY, OTHER_KEY, LOST_KEY = "k3yOfShop0001", "k3yOfCafe0002", "k3yLost00003"
SHOP = build_tenant("shop", KEY, LOST_KEY)
CAFE = build_tenant("cafe", OTHER_KEY)


def token(key: str) -> dict[str, str]:
    return {"Authorization": f"Token {key}"}


@pytest.fixture
async def fleet():
    async with SidecarFleet() as running:
        running.store.put("op/config", build_configuration(3, READS, OPEN, tenants=(SHOP, CAFE)))
        for data_centre in "ab":
            await running.add_vm("calendar", data_centre)
        await running.add_vm("deposits", "a")
        await running.wait_converged(3)
        yield running


def seen_headers(fleet: SidecarFleet) -> list[dict[str, str]]:
    """Return the headers of all requests at the backend servers, with names in lower case."""
    return [
        {name.lower(): value for name, value in headers.items()}
        for vm in fleet.vms
        for headers in vm.server.headers
    ]


@pytest.mark.parametrize("origin", [0, 2])
async def test_servers_see_the_workspace_and_never_the_key(fleet, origin):
    """Guard against a key or a claimed workspace that reaches a server, locally or over a peer."""
    sent = token(KEY) | {"Basilhill-Tenant": "cafe"}
    assert (await fleet.send_attempt(fleet.vms[origin], "/read/x", **sent)).status == 200
    (headers,) = seen_headers(fleet)
    assert headers["basilhill-tenant"] == "shop"
    assert KEY not in str(headers)


@pytest.mark.parametrize(
    "sent", [{}, token("unknown"), token(""), {"Authorization": f"Basic {KEY}"},
             {"Authorization": ""}, {"Authorization": KEY}, token(KEY + "\t" + OTHER_KEY)]
)  # fmt: skip
async def test_request_without_a_known_key_gets_401_and_reaches_no_server(fleet, sent):
    answer = await fleet.send_attempt(fleet.vms[0], "/read/x", **sent)
    assert (answer.status, answer.headers["www-authenticate"]) == (401, "Token")
    assert "retry-after" not in answer.headers and seen_headers(fleet) == []


async def test_two_authorization_headers_name_no_workspace(fleet):
    """Guard against a choice between two keys that a proxy before the node might make otherwise."""
    head = f"GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nBasilhill-Attempt-Id: a1\r\n"
    head += f"Authorization: Token {KEY}\r\nAuthorization: Token {OTHER_KEY}\r\n\r\n"
    reader, writer = await asyncio.open_connection(fleet.vms[0].address, CLIENT_PORT)
    writer.write(head.encode())
    assert (await reader.readline()).split()[1] == b"401"
    writer.close()
    assert seen_headers(fleet) == []


async def test_public_route_needs_no_key_and_names_no_workspace(fleet):
    sent = {"Basilhill-Tenant": "cafe", "Authorization": f"Basic {KEY}"}
    assert (await fleet.send_attempt(fleet.vms[0], "/open/x", **sent)).status == 200
    (headers,) = seen_headers(fleet)
    assert "basilhill-tenant" not in headers and KEY not in str(headers)
    assert (await fleet.send_attempt(fleet.vms[0], "/open/x", **token("unknown"))).status == 401


async def test_withdrawn_key_stops_and_a_moved_key_names_its_new_workspace(fleet):
    """Guard against keys that are remembered by a connection: the client keeps the same one."""
    assert (await fleet.send_attempt(fleet.vms[0], "/read/x", **token(LOST_KEY))).status == 200
    moved = (build_tenant("shop", KEY), build_tenant("cafe", OTHER_KEY, LOST_KEY))
    fleet.store.put("op/config", build_configuration(4, READS, OPEN, tenants=moved))
    await fleet.wait_converged(4)
    assert (await fleet.send_attempt(fleet.vms[0], "/read/x", **token(LOST_KEY))).status == 200
    assert [headers["basilhill-tenant"] for headers in seen_headers(fleet)] == ["shop", "cafe"]
    withdrawn = (build_tenant("shop", KEY), build_tenant("cafe", OTHER_KEY))
    fleet.store.put("op/config", build_configuration(5, READS, OPEN, tenants=withdrawn))
    await fleet.wait_converged(5)
    assert (await fleet.send_attempt(fleet.vms[0], "/read/x", **token(LOST_KEY))).status == 401


async def test_call_of_a_running_request_needs_no_key(fleet):
    """Guard against 401 for the calls of servers, and 401 for those of a node that restarted."""
    node = fleet.vms[0].node
    node.state.executor.running["parent"] = RunningCall("r-read", 0, 0, False, 1.0)
    sent = {"attempt": "parent.1", "Basilhill-Tenant": "cafe"} | token(KEY)
    assert (await fleet.send_attempt(fleet.vms[0], "/read/x", **sent)).status == 200
    (headers,) = seen_headers(fleet)
    assert "basilhill-tenant" not in headers and KEY not in str(headers)
    assert (await fleet.send_attempt(fleet.vms[0], "/read/x", attempt="gone.1")).status == 503
    assert (await fleet.send_attempt(fleet.vms[0], "/open/x", attempt="gone.2")).status == 200


async def test_node_without_a_configuration_refuses_with_503(fleet):
    fleet.vms[0].node.state.active_configuration.configuration = None
    for sent in (token(KEY), token("unknown"), {}):
        assert (await fleet.send_attempt(fleet.vms[0], "/read/x", **sent)).status == 503


async def test_key_is_forwarded_where_no_workspaces_are_configured():
    """Guard against a change for deployments whose servers read the header themselves."""
    async with SidecarFleet() as running:
        running.store.put("op/config", build_configuration(3, READS))
        vm = await running.add_vm("calendar")
        await running.wait_converged(3)
        assert (await running.send_attempt(vm, "/read/x", **token(KEY))).status == 200
        (headers,) = seen_headers(running)
        assert headers["authorization"] == f"Token {KEY}"


@pytest.mark.parametrize("origins", [(0,), (0, 1, 2)])
async def test_quota_holds_over_all_nodes(fleet, origins):
    """Guard against a quota that each node grants by itself."""
    shop = build_tenant("shop", KEY, ratePerS=10, burst=10)
    fleet.store.put("op/config", build_configuration(4, READS, tenants=(shop, CAFE)))
    await fleet.wait_converged(4)
    # A keeper lends nothing that another node may have lent before the fleet changed.
    await asyncio.sleep(1.5)
    vms = [fleet.vms[number] for number in origins] * (60 // len(origins))
    answers = await asyncio.gather(
        *(fleet.send_attempt(vm, "/read/x", **token(KEY)) for vm in vms),
        *(fleet.send_attempt(fleet.vms[0], "/read/x", **token(OTHER_KEY)) for _ in range(10)),
    )
    statuses = [answer.status for answer in answers]
    refused = [answer for answer in answers if answer.status == 429]
    assert statuses[-10:] == [200] * 10
    # The burst, the requests that are on trust, and what accumulates within a second.
    assert 8 <= statuses[:60].count(200) <= 45 and statuses[:60].count(429) >= 15
    assert all(0 < float(answer.headers["retry-after"]) < 10 for answer in refused)
    assert set(statuses) == {200, 429}
