"""Tests of feeds between nodes: a node at a position of the store knows exactly its state there."""

import pytest
from basilhill_fakes.feed_nodes import CLOCK, FakeStore, FakeStream, FeedNode
from basilhill_node.sidecar.frames import FrameKind
from basilhill_node.sidecar.positions import StorePosition
from hypothesis import example, given, settings
from hypothesis import strategies as st

NODES, SERVERS = 3, ("1", "2", "3", "4")
NODE = st.integers(0, NODES - 1)
CHANGE = st.tuples(st.sampled_from(SERVERS), st.sampled_from((True, False, None)))
STEPS = st.one_of(
    # Changes of the store that a node reads in one batch.
    st.tuples(st.sampled_from(("watch", "read")), NODE, st.lists(CHANGE, max_size=3)),
    # A node that subscribes to another one and receives some of the frames.
    st.tuples(st.just("subscribe"), NODE, NODE, st.integers(0, 2)),
    st.tuples(st.just("deliver"), NODE, st.integers(1, 2)),
)


# A follower that leaves within a batch.
@example(
    [
        ("read", 0, []),
        ("subscribe", 1, 0, 1),
        ("watch", 0, [("1", True), ("2", True)]),
        ("deliver", 1, 1),
    ]
)
# A follower that is ahead of the node it subscribes to.
@example([("read", 0, []), ("read", 1, [("1", True)]), ("subscribe", 1, 0, 1)])
@settings(max_examples=1_000, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=4, max_size=30))
def test_node_at_a_revision_has_the_state_of_the_store_there(steps):
    """Guard against lost changes when nodes change their feed, and against removed servers.

    A node that left a feed between two frames of one batch once took the revision of the batch
    with half of its changes.
    """
    store, nodes = FakeStore(), [FeedNode(f"n{number}") for number in range(NODES)]
    for name, number, *arguments in steps:
        node = nodes[number]
        positions = [checked.view.position for checked in nodes]
        if name in ("watch", "read"):
            for change in arguments[0]:
                store.change(*change)
            getattr(node, name)(store)
        elif name == "subscribe" and number != arguments[0]:
            node.subscribe(nodes[arguments[0]])
        for _ in range(arguments[-1] if name in ("subscribe", "deliver") else 0):
            node.deliver()
        for checked, before in zip(nodes, positions, strict=True):
            assert checked.view.position >= before
            assert checked.state() == store.history[checked.view.position]


def test_publisher_keeps_a_bounded_history():
    """Guard against memory that grows with the number of changes, and lost old changes."""
    store, reader, follower = FakeStore(), FeedNode("reader"), FeedNode("follower")
    follower.read(store)
    for number in range(1_500):
        store.change(str(number % 7), number % 2 == 0)
        reader.watch(store)
    assert len(reader.publisher.history) == reader.publisher.history.maxlen
    follower.subscribe(reader)
    follower.deliver()
    assert follower.state() == store.states[-1]


def test_node_that_stops_sends_its_followers_away():
    """Guard against followers that wait for a feed of a stopping node until it is silent."""
    store, reader, follower = FakeStore(), FeedNode("reader"), FeedNode("follower")
    reader.read(store)
    follower.subscribe(reader)
    follower.deliver()
    reader.lifecycle.leaving = True
    reader.publisher.end("the node is stopping")
    follower.deliver()
    assert follower.stream is None
    follower.subscribe(reader)
    follower.deliver()
    assert follower.stream is None and not reader.publisher.is_wanted


@pytest.mark.parametrize("retains", [False, True])
def test_feed_that_ends_beside_retained_entries_is_no_proof(retains):
    """Guard against a server that stays in use at followers after an outage of the store.

    A reader that stops while it retains entries never tells that it removed them.
    """
    store, reader, follower = FakeStore(), FeedNode("reader"), FeedNode("follower")
    store.change("1", False)
    reader.read(store)
    follower.subscribe(reader)
    follower.deliver()
    if retains:
        reader.updater.replace([], CLOCK.now_ms() + 1_000)
    reader.publisher.end("the node is stopping")
    follower.deliver()
    assert follower.follower.ended_current is not retains


def test_node_without_the_store_has_no_feed_to_offer():
    """Guard against followers that take the view of a node which lost the store for current."""
    reader, follower = FeedNode("reader"), FeedNode("follower")
    reader.view.unreachable_since_ms = 1
    follower.subscribe(reader)
    follower.deliver()
    assert follower.stream is None


def test_removal_of_the_local_server_makes_the_node_read_the_store():
    """Guard against a live server that stays removed while its VM has lost the store."""
    store, reader = FakeStore(), FeedNode("reader")
    follower = FeedNode("10.0.0.1")
    store.change("1", False)
    reader.read(store)
    follower.subscribe(reader)
    follower.deliver()
    assert follower.state() == {"1": False}
    store.change("1", None)
    reader.read(store)
    follower.deliver()
    assert follower.follower.store_in_doubt


@pytest.mark.parametrize(
    "fields", [[], [1], ["x", 0, False, b"", [], []], [1, 0, True, b"", [1], 2]]
)
def test_malformed_feed_frame_changes_nothing(fields):
    """Guard against a malformed frame that advances the revision without its changes."""
    store, node = FakeStore(), FeedNode("node")
    store.change("1", False)
    node.read(store)
    node.stream = FakeStream()
    with pytest.raises((TypeError, ValueError)):
        node.follower.handle(node.stream, FrameKind.FEED, fields)
    assert (node.view.position, node.state()) == (StorePosition(1, 2), {"1": False})
