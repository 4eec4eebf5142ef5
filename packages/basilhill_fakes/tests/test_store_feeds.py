"""Tests of a data centre in which one node reads the store and the others follow its feed."""

import asyncio

import pytest
from basilhill.queries.subscribers import is_subscriber
from basilhill_fakes.failing_stores import RefusingStore, SilentStore
from basilhill_fakes.sidecar_fleet import SidecarFleet, SidecarVm, build_configuration, build_route
from basilhill_node.sidecar.commands import follow_store
from basilhill_node.sidecar.commands.publish_feed import FeedPublisher
from basilhill_node.sidecar.state import STORE

READS = build_route("r-read", "/read/", "calendar")
# Time within which a new configuration must be active and a leaving server gets no new calls, by
# the strictest bounds of the platform.
APPLY_S = 2.0
VMS = 5


@pytest.fixture
async def fleet(monkeypatch):
    # The fleet starts one VM after another; the first reader must not stay in its role for it.
    monkeypatch.setattr(follow_store, "READER_HOLD_MS", 0)
    async with SidecarFleet() as running:
        running.store.put("op/config", build_configuration(3, READS))
        for _ in range(VMS):
            await running.add_vm("calendar", "a")
        await running.wait_converged(3)
        while len(readers(running)) > 1:
            # A node that reads the store looks for a subscriber after each change.
            running.store.put("op/config", build_configuration(3, READS))
            await asyncio.sleep(0.1)
        yield running


def readers(fleet: SidecarFleet) -> list[SidecarVm]:
    """Return the VMs whose nodes read the store themselves."""
    return [vm for vm in fleet.vms if vm.node and vm.node.state.store.source == STORE]


def running_vms(fleet: SidecarFleet) -> list[SidecarVm]:
    return [vm for vm in fleet.vms if vm.node is not None]


async def wait_applied(fleet: SidecarFleet, version: int, vms: list[SidecarVm]) -> None:
    """Wait until a version is active on VMs; fail after the time within which it must be."""
    async with asyncio.timeout(APPLY_S):
        await fleet.wait_until(
            lambda: all(vm.node.state.active_configuration.version == version for vm in vms)
        )


async def test_one_node_reads_the_store_and_all_know(fleet):
    """Guard against calls to the store that grow with nodes times changes."""
    before = fleet.store.reads
    fleet.store.put("op/config", build_configuration(5, READS))
    await wait_applied(fleet, 5, fleet.vms)
    fleet.register(fleet.vms[4], state="draining")
    await fleet.wait_until(
        lambda: all(vm.node.state.directory.entries["i-5"].draining for vm in fleet.vms)
    )
    assert len(readers(fleet)) == 1
    # One call for each change and the one that waits; each node by itself makes five times as many.
    assert fleet.store.reads - before <= 4


async def test_change_while_the_reader_fails_is_applied_in_time(fleet):
    """Guard against followers without changes after the failure of their reader."""
    (reader,) = readers(fleet)
    fleet.stop_node(reader)
    fleet.store.put("op/config", build_configuration(6, READS))
    await wait_applied(fleet, 6, running_vms(fleet))


async def test_change_while_the_reader_is_silent_is_applied_in_time(fleet, monkeypatch):
    """Guard against followers that wait for a frozen reader, whose connections stay open."""
    (reader,) = readers(fleet)
    silent = reader.node.publisher
    send = FeedPublisher.send

    def send_unless_silent(self, *content) -> None:
        if self is not silent:
            send(self, *content)

    monkeypatch.setattr(FeedPublisher, "send", send_unless_silent)
    monkeypatch.setattr(FeedPublisher, "serve_pending", serve_unless(silent))
    fleet.store.put("op/config", build_configuration(7, READS))
    await wait_applied(fleet, 7, [vm for vm in fleet.vms if vm is not reader])


def serve_unless(silent: FeedPublisher):
    serve = FeedPublisher.serve_pending

    def serve_pending(self) -> None:
        if self is not silent:
            serve(self)

    return serve_pending


async def test_reader_that_the_store_refuses_gets_changes_from_another_node(fleet):
    """Guard against a data centre cut from the store because the store refuses its reader."""
    (reader,) = readers(fleet)

    reader.node.follower.reader.store = RefusingStore()
    fleet.store.put("op/config", build_configuration(8, READS))
    fleet.store.compact_history()
    fleet.store.put("op/config", build_configuration(9, READS))
    await fleet.wait_until(
        lambda: all(vm.node.state.active_configuration.version == 9 for vm in fleet.vms)
    )
    assert reader.node.state.active_configuration.source != STORE


async def test_change_while_the_store_is_silent_to_the_reader_is_applied_in_time(fleet):
    """Guard against followers of a reader whose watch gets no response and no error.

    The store responded to the followers all the while.
    """
    (reader,) = readers(fleet)
    reader.node.follower.reader.store = SilentStore()
    # The watch of the reader that is in flight ends with this change.
    fleet.store.put("op/config", build_configuration(14, READS))
    await wait_applied(fleet, 14, fleet.vms)
    await asyncio.sleep(0.5)
    fleet.store.put("op/config", build_configuration(15, READS))
    await wait_applied(fleet, 15, [vm for vm in fleet.vms if vm is not reader])


async def test_outage_of_the_store_ends_for_all_nodes(fleet):
    """Guard against followers that keep an old view after the store is back."""
    fleet.store.down = True
    fleet.store.compact_history()
    await fleet.wait_until(lambda: not any(vm.node.state.store.reachable for vm in fleet.vms))
    fleet.store.put("op/config", build_configuration(10, READS))
    fleet.store.remove("servers/i-2")
    fleet.store.down = False
    await fleet.wait_until(
        lambda: all(
            vm.node.state.active_configuration.version == 10
            and "i-2" not in vm.node.state.directory.entries
            for vm in fleet.vms
        )
    )


async def test_restarted_node_follows_and_a_removed_server_stays_removed(fleet):
    """Guard against a server that is in use again after a restart of the node that fed others."""
    fleet.store.remove("servers/i-3")
    await fleet.wait_until(
        lambda: all("i-3" not in vm.node.state.directory.entries for vm in fleet.vms)
    )
    # The node of the removed server reads the store too, since its VM may have lost it.
    reader = max(readers(fleet), key=lambda vm: len(vm.node.publisher.followers))
    fleet.stop_node(reader)
    await fleet.start_node(reader)
    await fleet.wait_until(lambda: reader.node.state.active_configuration.version == 3)
    fleet.store.put("op/config", build_configuration(11, READS))
    await wait_applied(fleet, 11, fleet.vms)
    assert not any("i-3" in vm.node.state.directory.entries for vm in fleet.vms)


async def test_roles_follow_the_list_of_servers(fleet):
    """Guard against a leaving VM that stays the reader of its data centre."""
    (reader,) = readers(fleet)
    fleet.register(reader, state="draining")
    await fleet.wait_until(
        lambda: not is_subscriber(reader.node.state.directory, "a", reader.address)
    )
    fleet.store.put("op/config", build_configuration(12, READS))
    await fleet.wait_until(
        lambda: [vm for vm in readers(fleet) if vm is not reader] and reader not in readers(fleet)
    )
    await wait_applied(fleet, 12, fleet.vms)


async def test_malformed_item_of_the_store_stops_no_node(fleet):
    """Guard against a node that never follows the store again after one malformed item."""
    fleet.store.put("servers/i-2", b"\xff\x00 not an entry")
    fleet.store.events.append({"revision": fleet.store.revision + 1, "key": "servers/"})
    fleet.store.put("op/config", b"[]")
    fleet.store.put("op/config", build_configuration(13, READS))
    await fleet.wait_until(
        lambda: all(vm.node.state.active_configuration.version == 13 for vm in fleet.vms)
    )
