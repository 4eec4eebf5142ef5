"""Tests of the account of memory: what is held is bounded, and no wait is without an end."""

import pytest
from basilhill.commands.memory import (
    announce_message,
    hold_complete,
    pause_beyond_limit,
    release_message,
    resize_incomplete,
    resume_message,
)
from basilhill.memory import COMPLETE_LIMIT_FACTOR, HeldMessage, MemoryAccount, MessageKind
from basilhill.queries.memory import evictable, first_message, readable_again
from hypothesis import given, settings
from hypothesis import strategies as st

LIMIT = 1_000
LARGEST = 640
SEGMENT = 16
# A message may be the last one that the complete messages leave room for.
LARGEST_COMPLETE = LIMIT * COMPLETE_LIMIT_FACTOR + LARGEST + SEGMENT
STEPS = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from(("read", "read", "read", "announce", "fill", "complete", "release")),
    ),
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
        incomplete = message in account.reading
        if step == "release":
            release_message(account, message)
        elif step == "announce" and not incomplete and not message.size:
            announce_message(account, message, LARGEST)
        elif step == "fill" and incomplete and not message.paused:
            while message.size < LARGEST and not message.paused:
                resize_incomplete(account, message, message.size + SEGMENT)
        elif step == "complete" and message in account.reading and not message.paused:
            hold_complete(account, message, message.size)
        elif step == "read" and not message.paused and message.size < LARGEST:
            if message.size and message not in account.reading:
                continue
            resize_incomplete(account, message, message.size + SEGMENT)
        for resumed in readable_again(account):
            resume_message(account, resumed)
        assert account.held_bytes == sum(one.size for one in messages)
        complete = {
            kind: sum(
                one.size for one in messages if one.kind is kind and one not in account.reading
            )
            for kind in MessageKind
        }
        assert account.complete_bytes == complete
        assert max(complete.values()) <= LARGEST_COMPLETE
        incomplete_bytes = account.held_bytes - sum(complete.values())
        assert incomplete_bytes <= LIMIT + LARGEST + len(messages) * SEGMENT
        first = first_message(account)
        if first is not None and first.paused:
            waits_for = complete[first.kind]
            if first.kind is MessageKind.REQUEST:
                waits_for = sum(complete.values())
            assert waits_for > LIMIT * COMPLETE_LIMIT_FACTOR


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


def read_completely(account: MemoryAccount, messages: list[HeldMessage]) -> None:
    """Read messages a segment each in turn until all are complete or wait."""
    while any(message in account.reading and not message.paused for message in messages):
        for message in messages:
            if message not in account.reading or message.paused:
                continue
            if message.size < LARGEST:
                resize_incomplete(account, message, message.size + SEGMENT)
            else:
                hold_complete(account, message, LARGEST)
            for resumed in readable_again(account):
                resume_message(account, resumed)


@pytest.mark.parametrize("kind", MessageKind)
def test_messages_that_complete_one_after_the_other_are_bounded(kind):
    """Guard against first messages that each complete and stay, without a bound of their number."""
    account = MemoryAccount(LIMIT)
    messages = [HeldMessage(kind) for _ in range(40)]
    for message in messages:
        resize_incomplete(account, message, SEGMENT)
    read_completely(account, messages)
    largest_held = LIMIT + len(messages) * SEGMENT + LARGEST_COMPLETE
    assert account.held_bytes <= largest_held
    while held := [message for message in messages if message.size == LARGEST]:
        # Each message that is released lets others complete.
        messages.remove(held[0])
        release_message(account, held[0])
        for resumed in readable_again(account):
            resume_message(account, resumed)
        read_completely(account, messages)
        assert account.held_bytes <= largest_held
    assert messages == []


def test_response_is_read_while_requests_take_the_memory():
    """Guard against requests and their responses that wait for each other."""
    account = MemoryAccount(LIMIT)
    request, response = HeldMessage(MessageKind.REQUEST), HeldMessage(MessageKind.RESPONSE)
    hold_complete(account, request, 10 * LIMIT)
    announce_message(account, response, LARGEST)
    assert readable_again(account) == [response]


def test_announced_messages_are_granted_in_order_while_there_is_room():
    """Guard against grants that together exceed the limit."""
    account = MemoryAccount(LIMIT)
    later, responses = HeldMessage(MessageKind.REQUEST), []
    announce_message(account, later, LIMIT)
    for _ in range(3):
        responses.append(HeldMessage(MessageKind.RESPONSE))
        announce_message(account, responses[-1], LIMIT // 2)
    assert readable_again(account) == responses[:2]
    for message in responses[:2]:
        resume_message(account, message)
    assert account.held_bytes == LIMIT
    assert readable_again(account) == []
    release_message(account, responses[2])
    for message in responses[:2]:
        hold_complete(account, message, message.size)
        assert readable_again(account) == []
    for message in responses[:2]:
        release_message(account, message)
    assert readable_again(account) == [later]


def test_messages_that_receive_nothing_wait_too_beyond_the_limit():
    """Guard against uploads short of their end that keep their memory while responses need it."""
    account = MemoryAccount(LIMIT)
    requests = [HeldMessage(MessageKind.REQUEST) for _ in range(4)]
    for number, request in enumerate(requests):
        resize_incomplete(account, request, LIMIT // 4 - SEGMENT * number)
    assert pause_beyond_limit(account) == []
    resize_incomplete(account, requests[0], LIMIT)
    assert set(pause_beyond_limit(account)) == set(requests[1:])
    assert pause_beyond_limit(account) == []
    response = HeldMessage(MessageKind.RESPONSE)
    resize_incomplete(account, response, LARGEST)
    assert pause_beyond_limit(account) == requests[:1]
    assert evictable(account) == requests


def test_granted_message_is_not_paused():
    """Guard against a grant that is withdrawn, which its sender does not learn."""
    account = MemoryAccount(LIMIT)
    granted, response = HeldMessage(MessageKind.REQUEST), HeldMessage(MessageKind.RESPONSE)
    announce_message(account, granted, LARGEST)
    resume_message(account, granted)
    resize_incomplete(account, response, LIMIT)
    assert pause_beyond_limit(account) == []
    assert not granted.paused
