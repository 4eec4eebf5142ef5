"""Tests of what is known of a leaving server, in any order of records, statements and outages."""

from attrs import evolve
from basilhill.backends import BackendDirectory, BackendEntry
from basilhill.commands.backends import (
    expire_retained,
    mark_leaving,
    put_entry,
    remove_entry,
    replace_entries,
    set_detached,
)
from basilhill.queries.backends import is_leaving, ready_entries
from hypothesis import example, given
from hypothesis import strategies as st

SERVER = BackendEntry("i-1", "calendar", "10.0.0.1:80", "a", 10)
OTHER = BackendEntry("i-2", "calendar", "10.0.0.2:80", "a", 10)
STARTS = st.integers(1, 4)
RECORDS = st.builds(
    lambda start, draining: evolve(SERVER, started_ms=start, draining=draining),
    STARTS,
    st.booleans(),
)
STEPS = st.one_of(
    st.tuples(st.just("put"), RECORDS),
    st.tuples(st.just("replace"), st.one_of(st.none(), RECORDS), st.sampled_from((0, 5))),
    st.tuples(st.just("remove")),
    st.tuples(st.just("state")),
    st.tuples(st.just("detach"), st.booleans()),
    st.tuples(st.just("expire")),
)


def apply(directory: BackendDirectory, step: tuple) -> None:
    """Apply one step to a directory."""
    match step:
        case ("put", record):
            put_entry(directory, record)
        case ("replace", record, retained_until_ms):
            listed = [OTHER] if record is None else [OTHER, record]
            replace_entries(directory, listed, retained_until_ms)
        case ("remove",):
            remove_entry(directory, "i-1")
        case ("state",):
            mark_leaving(directory, "i-1")
        case ("detach", is_detached):
            set_detached(directory, {SERVER.address} if is_detached else set())
        case ("expire",):
            expire_retained(directory, 10)


@given(st.lists(STEPS, max_size=12))
@example(
    steps=[
        ("state",),
        ("put", evolve(SERVER, started_ms=2)),
        ("put", evolve(SERVER, started_ms=1)),
    ]
)
def test_only_a_later_start_puts_a_server_in_use_after_it_stated_that_it_leaves(steps):
    """Guard against a record, a removal or an outage that ends what a server said of itself."""
    directory = BackendDirectory()
    put_entry(directory, evolve(SERVER, started_ms=1))
    stated_start = None
    for step in steps:
        apply(directory, step)
        known = directory.entries.get("i-1") or directory.removed_entries["i-1"]
        if step == ("state",):
            stated_start = max(known.started_ms, stated_start or 0)
        if stated_start is not None and known.started_ms <= stated_start:
            assert is_leaving(directory, "i-1")
            ready = ready_entries(directory, "calendar")
            assert "i-1" not in {entry.server_id for entry in ready}
