"""Tests of a fleet in which few nodes read the platform's store for all others."""

from collections import Counter

import pytest
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.commands.backends import put_entry, remove_entry
from basilhill.queries.subscribers import (
    NODES_PER_SUBSCRIBER,
    candidate_hosts,
    feed_hosts,
    is_subscriber,
)


def directory_of(nodes: int, data_centre: str = "a") -> BackendDirectory:
    directory = BackendDirectory()
    for number in range(nodes):
        add_vm(directory, number, data_centre)
    return directory


def add_vm(directory: BackendDirectory, number: int, data_centre: str = "a", **changes) -> str:
    host = f"10.{number // 60_000}.{number // 250 % 240}.{number % 250}"
    entry = BackendEntry(f"i-{number}", "s", f"{host}:8301", data_centre, 10, **changes)
    put_entry(directory, entry)
    return host


def subscribers(directory: BackendDirectory) -> set[str]:
    hosts = candidate_hosts(directory, "a")
    return {host for host in hosts if is_subscriber(directory, "a", host)}


@pytest.mark.parametrize(("nodes", "readers"), [(1, 1), (4, 1), (39, 1), (65, 2), (555, 9)])
def test_few_nodes_of_a_data_centre_read_the_store(nodes, readers):
    """Guard against calls to the store that grow with the number of nodes."""
    assert len(subscribers(directory_of(nodes))) == readers


def test_followers_are_spread_over_the_subscribers():
    """Guard against one subscriber that feeds the whole data centre."""
    directory = directory_of(300)
    chosen = subscribers(directory)
    first = Counter(
        feed_hosts(directory, "a", host)[0]
        for host in candidate_hosts(directory, "a")
        if host not in chosen
    )
    assert first.keys() == chosen
    assert max(first.values()) < 2 * NODES_PER_SUBSCRIBER


def test_follower_asks_substitutes_after_the_subscribers():
    """Guard against a data centre without changes when all its subscribers have failed."""
    directory = directory_of(39)
    (subscriber,) = subscribers(directory)
    follower = next(host for host in candidate_hosts(directory, "a") if host != subscriber)
    hosts = feed_hosts(directory, "a", follower)
    assert hosts[0] == subscriber
    assert len(hosts) >= 2 and follower not in hosts


def test_joining_and_leaving_vms_move_few_roles():
    """Guard against followers that all move whenever a VM joins or leaves."""
    directory = directory_of(300)
    before = subscribers(directory)
    add_vm(directory, 1_000)
    assert len(subscribers(directory) - before) <= 1
    remove_entry(directory, "i-1000")
    assert subscribers(directory) == before


def test_draining_vms_and_other_data_centres_give_no_subscribers():
    """Guard against a feed from a VM that is about to leave, or across data centres."""
    directory = directory_of(1, "b")
    host = add_vm(directory, 1)
    add_vm(directory, 2, draining=True)
    assert subscribers(directory) == {host}
    assert feed_hosts(directory, "a", host) == []


def test_vm_without_listed_neighbours_reads_the_store():
    """Guard against a node that waits for a feed which nobody can send."""
    assert is_subscriber(BackendDirectory(), "a", "10.0.0.1")
