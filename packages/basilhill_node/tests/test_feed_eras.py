"""Tests of feeds between nodes while the store comes back from older copies of itself."""

from basilhill_fakes.feed_nodes import FakeStore, FeedNode
from basilhill_node.sidecar.frames import FrameKind, FrameReader
from basilhill_node.sidecar.positions import StorePosition
from hypothesis import example, given, settings
from hypothesis import strategies as st

NODES, SERVERS = 3, ("1", "2", "3", "4", "5", "6")
NODE = st.integers(0, NODES - 1)
STEPS = st.one_of(
    st.tuples(st.just("register"), NODE, st.sampled_from(SERVERS)),
    st.tuples(st.just("restore"), NODE, st.integers(0, 3)),
    st.tuples(st.sampled_from(("watch", "read", "deliver")), NODE),
    st.tuples(st.just("subscribe"), NODE, NODE),
)


# A reader that learns of the era after its follower has registered more than the copy has.
@example(
    [
        ("register", 0, "1"),
        ("read", 0),
        ("read", 1),
        ("subscribe", 1, 0),
        ("deliver", 1),
        ("restore", 0, 1),
        ("register", 0, "2"),
        ("watch", 0),
        ("deliver", 1),
    ]
)
@settings(max_examples=1_000, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=6, max_size=40))
def test_positions_of_two_eras_are_never_mixed_up(steps):
    """Guard against a node that takes a revision of one era for the same one of another era.

    Nodes once compared revisions alone, and refused all reads of a store that had come back from a
    copy until its revisions passed the known ones.
    """
    store, nodes = FakeStore(), [FeedNode(f"n{number}") for number in range(NODES)]
    for name, number, *arguments in steps:
        node = nodes[number]
        positions = [checked.view.position for checked in nodes]
        if name == "register":
            store.change(arguments[0], False)
        elif name == "restore":
            store.restore(arguments[0])
        elif name in ("watch", "read"):
            getattr(node, name)(store)
        elif name == "subscribe" and number != arguments[0]:
            node.subscribe(nodes[arguments[0]])
        elif name == "deliver":
            node.deliver()
        for checked, before in zip(nodes, positions, strict=True):
            assert checked.view.position >= before
            assert checked.registered() == store.history[checked.view.position]


def start_pair(states_era: bool = True) -> tuple[FakeStore, FeedNode, FeedNode]:
    """Return a store, a node that reads it, and a node up to date with its feed."""
    store, reader, follower = FakeStore(), FeedNode("reader"), FeedNode("follower")
    store.change("1", False)
    store.change("2", False)
    reader.read(store)
    follower.read(store)
    follower.subscribe(reader, states_era)
    follower.deliver()
    return store, reader, follower


def test_followers_hear_of_an_era_through_their_feed():
    """Guard against a whole fleet that reads the store at once when it comes back from a copy."""
    store, reader, follower = start_pair()
    store.restore(1)
    store.change("3", False)
    reader.read(store)
    follower.deliver()
    assert follower.stream is not None
    assert follower.view.position == store.position
    assert follower.registered() == {"1": False, "3": False}
    # The copy lacks this one, and its server has time to write it again.
    assert follower.directory.retained_until_ms.keys() == {"2"}


def test_feed_of_an_earlier_era_is_not_news():
    """Guard against a node that goes back to what a node that missed the era still knows."""
    store, reader, follower = start_pair()
    store.restore(1)
    follower.read(store)
    before = follower.view.position
    follower.subscribe(reader)
    follower.deliver()
    assert follower.view.position == before and follower.stream is None


def test_changes_alone_do_not_begin_an_era():
    """Guard against a node that keeps the entries of one era with the position of the next."""
    store, _reader, follower = start_pair()
    before, stream = follower.view.position, follower.stream
    follower.follower.connection = stream
    fields = [store.position.revision + 5, 0, False, b"", [], [], store.era + 1, 0]
    follower.follower.handle(stream, FrameKind.FEED, fields)
    assert follower.view.position == before and not stream.is_open


def test_node_of_the_release_before_gets_frames_that_it_understands():
    """Guard against a roll in which nodes of the release before lose their feed.

    They close a stream with a frame that has more fields than they know.
    """
    store, reader, follower = start_pair(states_era=False)
    store.restore(1)
    store.change("3", False)
    reader.read(store)
    reader.publisher.send_heartbeat()
    frames = [fields for data in follower.stream.frames for _, fields in FrameReader().feed(data)]
    assert frames and all(len(fields) == 6 for fields in frames)
    # A complete list would end entries that their servers write again.
    assert not any(complete for _, _, complete, *_ in frames)


def test_feed_without_eras_moves_no_position():
    """Guard against changes that are never read, since a node took a revision of another era."""
    store, reader, follower = start_pair()
    before = follower.view.position
    rows = [["3", "s", "10.0.0.3:1", "a", 10, False, 0, 0]]
    fields = [before.revision + 5, 0, False, b"", rows, []]
    follower.follower.handle(follower.stream, FrameKind.FEED, fields)
    assert "3" in follower.state()
    assert follower.view.position == before == StorePosition(1, store.position.revision)
