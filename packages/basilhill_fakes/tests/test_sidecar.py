"""Tests of sidecar nodes end to end on loopback, against stand-ins for servers and store."""

import asyncio

import pytest
from basilhill.backends import BackendEntry
from basilhill_fakes.sidecar_fleet import (
    CLIENT_PORT,
    HOST,
    METRICS_PORT,
    READY_PORT,
    SidecarFleet,
    configuration,
    path_rule,
)
from basilhill_node.sidecar import node as node_module
from basilhill_node.sidecar.commands.screen_request import CrashScreen
from basilhill_node.sidecar.node import leave
from basilhill_node.sidecar.state import RunningCall

READS = path_rule("r-read", "/read/", "calendar")
WRITES = path_rule("r-write", "/write/", "deposits", kind="non_idempotent", priority=0)


@pytest.fixture
async def fleet():
    async with SidecarFleet() as running:
        running.store.put("op/config", configuration(3, READS, WRITES))
        await running.add("calendar", "a")
        await running.add("calendar", "b")
        await running.add("deposits", "a")
        await running.settled(3)
        yield running


async def test_request_reaches_a_server_of_its_service_and_comes_back_whole(fleet):
    answer = await fleet.ask(fleet.machines[0], "/write/x?a=1", "POST", b"body")
    assert (answer.status, answer.body) == (200, b"POST /write/x?a=1 body")
    server = fleet.machines[2].server
    assert server.runs == {answer.attempt: 1}
    assert answer.headers["basilhill-response-signature"].startswith(server.server_id)
    headers = {name.lower(): value for name, value in server.headers[0].items()}
    assert headers["basilhill-caller-service"] == "calendar"
    assert 0 < int(headers["basilhill-deadline-ms"]) <= 2_000


async def test_request_of_the_own_service_stays_on_the_vm(fleet):
    await fleet.ask(fleet.machines[1], "/read/x")
    assert fleet.machines[1].server.runs and not fleet.machines[0].server.runs


async def test_request_without_a_route_gets_404_and_before_any_configuration_503(fleet):
    assert (await fleet.ask(fleet.machines[0], "/nowhere")).status == 404
    fleet.machines[0].node.state.in_force.configuration = None
    assert (await fleet.ask(fleet.machines[0], "/nowhere")).status == 503


async def test_idempotent_request_is_sent_to_another_server_after_a_failure(fleet):
    fleet.machines[0].server.status = 500
    answer = await fleet.ask(fleet.machines[0], "/read/x")
    assert answer.status == 200
    assert fleet.machines[1].server.runs == {answer.attempt: 1}


async def test_request_that_may_have_run_is_not_sent_again(fleet):
    """Guards against a deposit that is taken twice after its answer was lost."""
    await fleet.add("deposits", "b")
    await fleet.settled(3)
    for machine in fleet.machines[2:]:
        machine.server.resets = True
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 502
    runs = [machine.server.runs[answer.attempt] for machine in fleet.machines[2:]]
    assert sorted(runs) == [0, 1]


async def test_request_that_the_only_server_refused_is_sent_to_it_again(fleet):
    """Guards against calls lost to a server that sheds a share of them while it has slots."""
    server = fleet.machines[2].server
    server.rejects_first = 2
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 200
    assert (server.arrivals[answer.attempt], server.runs[answer.attempt]) == (3, 1)


async def test_request_that_is_always_refused_ends_with_a_refusal_soon(fleet):
    server = fleet.machines[2].server
    server.rejects = True
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 503 and "retry-after" in answer.headers
    assert server.arrivals[answer.attempt] <= 8


async def test_request_that_a_server_did_not_run_goes_to_another_one(fleet):
    second = await fleet.add("deposits", "b")
    await fleet.settled(3)
    fleet.machines[2].server.rejects = True
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 200
    assert second.server.runs == {answer.attempt: 1}


async def test_refusal_says_not_run_and_when_to_come_back(fleet):
    fleet.machines[2].server.rejects = True
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 503
    assert not fleet.machines[2].server.runs


async def test_server_gets_no_more_requests_than_its_slots(fleet):
    server = fleet.machines[2].server
    server.run_ms = 50
    node = fleet.machines[2]
    answers = await asyncio.gather(*(fleet.ask(node, "/write/x", "POST", b"1") for _ in range(20)))
    assert server.most_running <= 4
    refused = [answer for answer in answers if answer.status == 503]
    assert not any(server.runs[answer.attempt] for answer in refused)


async def test_request_is_held_for_its_patience_once_and_not_at_each_gate(fleet):
    """Guards against a refusal that comes after waiting for a slot at one server after another."""
    for machine in fleet.machines[:2]:
        machine.server.run_ms = 1_000
        for _ in range(4):
            fleet.tasks.append(asyncio.create_task(fleet.ask(machine, "/read/long")))
    await fleet.until(lambda: all(m.server.running == 4 for m in fleet.machines[:2]))
    started = asyncio.get_running_loop().time()
    answer = await fleet.ask(fleet.machines[2], "/read/x")
    assert answer.status == 503
    # A quarter of the target latency of 500 ms.
    assert asyncio.get_running_loop().time() - started < 0.2


async def test_server_that_took_over_an_address_runs_nothing(fleet):
    """Guards against a request that runs at another server, or reaches it again and again."""
    machine = fleet.machines[2]
    machine.server.server_id = "i-reborn"
    assert (await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")).status == 503
    assert (await fleet.ask(fleet.machines[1], "/write/x", "POST", b"1")).status == 503
    assert not machine.server.runs
    assert sum(machine.server.arrivals.values()) == 1


async def test_draining_server_gets_nothing_new(fleet):
    fleet.register(fleet.machines[0], state="draining", sequence=2)
    await fleet.until(
        lambda: all(
            machine.node.state.directory.entries["i-1"].draining for machine in fleet.machines
        )
    )
    for machine in fleet.machines:
        assert (await fleet.ask(machine, "/read/x")).status == 200
    assert not fleet.machines[0].server.runs


async def test_gate_refuses_a_call_of_a_peer_that_has_not_heard_of_the_drain(fleet):
    fleet.register(fleet.machines[2], state="draining", sequence=2)
    gate_view = fleet.machines[2].node.state.directory
    await fleet.until(lambda: gate_view.entries["i-3"].draining)
    origin_view = fleet.machines[0].node.state.directory
    stale = BackendEntry("i-3", "deposits", f"{fleet.machines[2].address}:8301", "a", 4)
    origin_view.entries["i-3"] = stale
    origin_view.services["deposits"] = [stale]
    assert (await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")).status == 503
    assert not fleet.machines[2].server.runs


async def test_new_configuration_is_in_force_everywhere_and_never_reverts(fleet):
    moved = path_rule("r-read", "/read/", "deposits")
    fleet.store.put("op/config", configuration(9, moved, WRITES))
    await fleet.settled(9)
    await fleet.ask(fleet.machines[0], "/read/x")
    assert fleet.machines[2].server.runs
    fleet.store.put("op/config", configuration(8, READS, WRITES))
    await asyncio.sleep(0.2)
    assert all(machine.node.state.in_force.version == 9 for machine in fleet.machines)


async def test_lost_history_is_read_again_and_departed_servers_are_dropped(fleet):
    fleet.store.items.pop("servers/i-1")
    fleet.store.revision += 1
    fleet.store.forget_history()
    await fleet.until(
        lambda: all("i-1" not in machine.node.state.directory.entries for machine in fleet.machines)
    )


async def test_nodes_serve_on_while_the_store_is_down(fleet):
    fleet.store.down = True
    fleet.store.note(None)
    await fleet.until(lambda: not fleet.machines[0].node.state.store.reachable)
    assert (await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")).status == 200


async def test_node_restarted_without_the_store_learns_from_its_peers(fleet):
    """Guards against 404 for routes that are there, and against serving an older version."""
    await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    fleet.store.down = True
    fleet.store.note(None)
    restarted = fleet.machines[2]
    fleet.stop_node(restarted)
    await fleet.start_node(restarted)
    assert (await fleet.ask(restarted, "/read/x")).status == 503

    async def ask_until_known() -> None:
        while restarted.node.state.in_force.version < 3:
            await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
            await asyncio.sleep(0.05)

    async with asyncio.timeout(5):
        await ask_until_known()
    # The peers are without the store too, so the servers come from their last view.
    await fleet.until(lambda: "i-1" in restarted.node.state.directory.entries)
    assert (await fleet.ask(restarted, "/read/x")).status == 200


async def test_leaving_node_finishes_its_calls_and_takes_none_of_its_peers(fleet):
    """Guards against calls cut off when a node stops while its server goes on."""
    second = await fleet.add("deposits", "b")
    await fleet.settled(3)
    leaving = fleet.machines[2]
    stopped = asyncio.create_task(leave(leaving.node))
    await asyncio.sleep(0.05)
    early = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert early.status == 200 and leaving.server.runs == {early.attempt: 1}
    own = await fleet.ask(leaving, "/write/z", "POST", b"3")
    assert own.status == 200 and own.headers["connection"] == "close"
    leaving.server.run_ms = 600
    running = asyncio.create_task(fleet.ask(fleet.machines[0], "/write/x", "POST", b"1"))
    await fleet.until(lambda: leaving.server.running == 1)
    leaving.node.state.life.closing = True
    other = await fleet.ask(fleet.machines[0], "/write/y", "POST", b"2")
    assert other.status == 200 and second.server.runs == {other.attempt: 1}
    assert (await fleet.ask(leaving, "/write/z", "POST", b"3")).status == 503
    assert (await running).status == 200
    await stopped
    assert leaving.node.state.clock.now_ms() - leaving.node.state.life.started_ms < 5_000


async def test_node_that_must_stop_answers_what_waits_behind_a_slow_request(fleet, monkeypatch):
    """Guards against a ready answer that is lost behind an earlier request of its connection."""
    monkeypatch.setattr(node_module, "LEAVE_MS", 300)
    node = fleet.machines[0].node
    node.state.settings.grace_ms = 600 + node_module.GRACE_MARGIN_MS
    fleet.machines[2].server.run_ms = 1_800
    reader, writer = await asyncio.open_connection(fleet.machines[0].address, CLIENT_PORT)
    for path, attempt in (("/write/x", "slow"), ("/read/x", "quick")):
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nBasilhill-Attempt-Id: {attempt}\r\n"
            "Basilhill-Deadline-Ms: 2000\r\n\r\n".encode()
        )
    await fleet.until(lambda: fleet.machines[2].server.running == 1)
    await leave(node)
    received = await reader.read()
    assert received.index(b"HTTP/1.1 504") < received.index(b"HTTP/1.1 200")
    assert received.endswith(b"GET /read/x ")


async def test_calls_of_a_repeated_run_take_retries_and_are_refused_without(fleet):
    """Guards against one repeat that multiplies into a repeat of each call below it."""
    state = fleet.machines[0].node.state
    state.gate.running["parent"] = RunningCall("r-up", 0, 0, repeated=True, share=1.0)
    state.settings.retry_minimum = 4 * len(state.directory.entries)
    first = await fleet.ask(fleet.machines[0], "/read/x", attempt="parent.1")
    second = await fleet.ask(fleet.machines[0], "/read/x", attempt="parent.2")
    assert (first.status, second.status) == (200, 200)
    assert len(state.origin.quotas["calendar"].retries) == 2
    refused = await fleet.ask(fleet.machines[0], "/read/x", attempt="parent.3")
    assert refused.status == 503
    assert not any(machine.server.arrivals["parent.3"] for machine in fleet.machines)
    assert (await fleet.ask(fleet.machines[0], "/read/x")).status == 200


async def test_nodes_tell_their_peers_that_they_are_cut_off_from_the_store(fleet):
    """Guards against servers dropped with their entries, which lapse during such a cut."""
    cut_off = fleet.machines[1].node
    # Opens a stream between the two nodes.
    assert (await fleet.ask(fleet.machines[1], "/write/x", "POST", b"1")).status == 200
    watching = fleet.machines[2].node.state.directory
    address = cut_off.state.settings.backend_address
    cut_off.state.store.reachable = False
    cut_off.state.store.changed()
    await fleet.until(lambda: watching.detached == {address})
    cut_off.state.store.reachable = True
    cut_off.state.store.changed()
    await fleet.until(lambda: watching.detached == set())


async def test_request_lost_on_a_kept_connection_counts_as_a_retry(fleet):
    """Guards against arrivals beyond the budget while a server resets the answers of its runs."""
    for _ in range(3):
        await fleet.ask(fleet.machines[0], "/read/x")
    servers = [machine.server for machine in fleet.machines[:2]]
    for server in servers:
        server.resets = True
    answer = await fleet.ask(fleet.machines[0], "/read/x")
    assert answer.status == 502
    assert [server.arrivals[answer.attempt] for server in servers] == [1, 1]


async def test_client_that_leaves_stops_the_run_on_another_vm(fleet):
    server = fleet.machines[2].server
    server.run_ms = 1_500
    reader, writer = await asyncio.open_connection(fleet.machines[0].address, CLIENT_PORT)
    writer.write(
        f"POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nBasilhill-Attempt-Id: gone\r\n"
        "Basilhill-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n".encode()
    )
    await fleet.until(lambda: server.running == 1)
    writer.close()
    await fleet.until(lambda: server.cancelled == 1)


async def test_request_ends_at_the_timeout_of_its_route(fleet):
    short = path_rule("r-write", "/write/", "deposits", kind="non_idempotent", timeoutS=0.2)
    fleet.store.put("op/config", configuration(4, READS, short))
    await fleet.settled(4)
    fleet.machines[2].server.run_ms = 1_000
    started = asyncio.get_running_loop().time()
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 504
    assert asyncio.get_running_loop().time() - started < 0.5


async def test_call_within_a_run_inherits_its_rank(fleet):
    """Guards against refusing the calls of requests that were admitted."""
    server = fleet.machines[2].server
    server.calls = (f"{fleet.machines[2].address}:{CLIENT_PORT}", HOST, "/read/inner")
    answer = await fleet.ask(fleet.machines[0], "/write/x", "POST", b"1")
    assert answer.status == 200
    levels = fleet.machines[2].node.state.origin.levels
    assert levels.called == {"r-write": {"r-read"}}


async def test_ready_and_metrics(fleet):
    machine = fleet.machines[0]
    await fleet.ask(machine, "/read/x")
    ready = f"http://{machine.address}:{READY_PORT}/basilhill/ready"
    async with fleet.session.get(ready) as response:
        assert response.status == 200
    machine.node.state.life.leaving = True
    async with fleet.session.get(ready) as response:
        assert response.status == 503
    async with fleet.session.get(f"http://{machine.address}:{METRICS_PORT}/metrics") as response:
        text = await response.text()
    assert "basilhill_configuration_version 3.0" in text
    assert 'basilhill_actions_total{action="r-read",verdict="answered"} 1.0' in text


async def test_request_that_crashed_two_servers_reaches_no_third(fleet, monkeypatch):
    third = await fleet.add("calendar", "c")
    await fleet.settled(3)

    async def down(_screen) -> bool:
        return True

    monkeypatch.setattr(CrashScreen, "server_is_down", down)
    for machine in fleet.machines:
        machine.server.resets = True
    origin = fleet.machines[0]
    await fleet.ask(origin, "/read/poison")
    await asyncio.sleep(0.1)
    for machine in fleet.machines:
        machine.server.resets = False
    await fleet.ask(third, "/read/other")
    answer = await fleet.ask(origin, "/read/poison")
    assert answer.status == 503
    assert len([m for m in fleet.machines if m.server.runs]) == 3
