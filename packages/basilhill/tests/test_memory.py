"""Tests of the account of memory: what is held is bounded, and one message is always read."""

from basilhill.commands.memory import hold_complete, release_message, resize_incomplete
from basilhill.memory import HeldMessage, MemoryAccount, MessageKind
from basilhill.queries.memory import first_message, readable_again
from hypothesis import given, settings
from hypothesis import strategies as st

LIMIT = 1_000
LARGEST = 640
SEGMENT = 16
STEPS = st.lists(
    st.tuples(st.integers(0, 9), st.sampled_from(("read", "read", "read", "complete", "release"))),
    max_size=400,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(MessageKind), min_size=10, max_size=10), STEPS)
def test_held_bytes_are_bounded_and_one_message_is_read(kinds, steps):
    """Guard against a node that holds more than it may, or whose messages all wait."""
    account = MemoryAccount(LIMIT)
    messages = [HeldMessage(kind) for kind in kinds]
    for number, step in steps:
        message = messages[number]
        if step == "release":
            release_message(account, message)
        elif step == "complete" and message in account.reading and not message.paused:
            hold_complete(account, message, message.size)
        elif step == "read" and not message.paused and message.size < LARGEST:
            if message.size and message not in account.reading:
                continue
            resize_incomplete(account, message, message.size + SEGMENT)
        for resumed in readable_again(account):
            resumed.paused = False
        assert account.held_bytes == sum(one.size for one in messages)
        assert account.held_bytes <= LIMIT + LARGEST + len(messages) * SEGMENT
        if account.reading:
            assert not first_message(account).paused


def test_responses_are_read_before_requests():
    """Guard against work that ran and is not answered because new work takes the memory."""
    account = MemoryAccount(LIMIT)
    request, response = HeldMessage(MessageKind.REQUEST), HeldMessage(MessageKind.RESPONSE)
    resize_incomplete(account, request, LIMIT)
    resize_incomplete(account, response, SEGMENT)
    assert not response.paused
    resize_incomplete(account, request, LIMIT + SEGMENT)
    assert request.paused
    release_message(account, response)
    assert readable_again(account) == [request]
