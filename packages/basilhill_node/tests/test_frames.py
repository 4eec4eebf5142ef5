"""Tests of the frames between sidecar nodes."""

import pytest
from basilhill.outcomes import Answer, ExecutionStatus, Header, Reason, may_have_run, not_run
from basilhill_node.sidecar.frames import (
    Execute,
    FrameKind,
    FrameReader,
    HeaderTable,
    MalformedFrameError,
    Reply,
    decode_execute,
    decode_reply,
    encode_execute,
    encode_frame,
    encode_reply,
)
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st

HEADERS = [Header("accept", "*/*"), Header("x", "ä")]


def read(data: bytes):
    return list(FrameReader().feed(data))


def test_execute_round_trip():
    """Guard against fields of a call that are lost, reordered or rounded by the encoding."""
    sent = Execute(
        7,
        "i-1",
        "id",
        "shop",
        "r-1",
        True,
        900,
        950,
        40,
        31,
        False,
        0.25,
        "POST",
        "/a?b",
        HEADERS,
        b"\0",
    )
    ((kind, fields),) = read(encode_execute(sent, HeaderTable()))
    received = decode_execute(fields, HeaderTable())
    assert kind is FrameKind.EXECUTE
    names = [name for name in Execute.__slots__ if name != "__weakref__"]
    assert all(getattr(received, name) == getattr(sent, name) for name in names)


@pytest.mark.parametrize(
    "outcome",
    [
        Ok(Answer(200, tuple(HEADERS), b"body")),
        Error(not_run(Reason.OVERLOADED, "full", 250)),
        Error(may_have_run(Reason.CONNECTION_LOST, "gone")),
    ],
)
def test_reply_round_trip(outcome):
    """Guard against an outcome, load or level that is changed by the encoding."""
    ((_, fields),) = read(encode_reply(Reply(3, outcome, 5, 4.25), HeaderTable()))
    reply = decode_reply(fields, HeaderTable())
    assert (reply.call_id, reply.running, reply.level) == (3, 5, 4.25)
    assert reply.outcome == outcome


def test_execution_status_of_a_refusal_is_preserved():
    """Guard against telling a client that a request has not run although it may have run."""
    sent = Reply(1, Error(may_have_run(Reason.DEADLINE, "late")))
    ((_, fields),) = read(encode_reply(sent, HeaderTable()))
    assert (
        decode_reply(fields, HeaderTable()).outcome.error.execution_status
        is ExecutionStatus.MAY_HAVE_RUN
    )


@given(st.lists(st.binary(max_size=40), max_size=6), st.integers(1, 9))
def test_frames_are_parsed_from_arbitrary_chunks(bodies, size):
    """Guard against frames that are lost or merged when a read ends within a frame."""
    data = b"".join(encode_frame(FrameKind.CONFIGURATION, body) for body in bodies)
    reader, found = FrameReader(), []
    for start in range(0, len(data), size):
        found.extend(fields[0] for _, fields in reader.feed(data[start : start + size]))
    assert found == bodies


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff", b"\0\0\0\1\xc1", b"\0\0\0\2\x91\x63"])
def test_malformed_frame_is_rejected(data):
    """Guard against an unhandled error or a huge buffer when a peer sends invalid bytes."""
    with pytest.raises(MalformedFrameError):
        read(data)


def test_repeated_headers_take_one_byte():
    """Guard against sending the same header in full with each call between data centres."""
    table = HeaderTable()
    sent = [table.encode(HEADERS) for _ in range(3)]
    assert sent[2] == [0, 1]
    received = HeaderTable()
    assert [received.decode(encoded) for encoded in sent] == [HEADERS] * 3


@given(st.lists(st.lists(st.sampled_from("abcdef"), max_size=4), max_size=30))
def test_header_tables_of_both_sides_agree(messages):
    """Guard against header numbers that mean different headers to sender and receiver."""
    sender, receiver = HeaderTable(), HeaderTable()
    for names in messages:
        headers = [Header(name, name * 2) for name in names]
        assert receiver.decode(sender.encode(headers)) == headers


@pytest.mark.parametrize("encoded", [[5], [None, "a", "b"] * 200])
def test_invalid_header_numbers_are_rejected(encoded):
    """Guard against unknown header numbers and tables that grow without bound."""
    with pytest.raises((IndexError, ValueError)):
        HeaderTable().decode(encoded)
