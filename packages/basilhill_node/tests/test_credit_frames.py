"""Tests of the frames about credit, also with malformed input and nodes of older versions."""

import asyncio

import pytest
from basilhill.clocks import SystemClock
from basilhill.credits import CreditGrant, CreditRequest
from basilhill_fakes.stream_server import serve_streams
from basilhill_node.sidecar.credit_frames import (
    decode_credit_grant,
    decode_credit_request,
    encode_credit_grant,
    encode_credit_request,
)
from basilhill_node.sidecar.event_log import EventLog
from basilhill_node.sidecar.frames import (
    FrameKind,
    FrameReader,
    MalformedFrameError,
    encode_frame,
)
from basilhill_node.sidecar.peer_streams import PeerStreams

REQUEST = CreditRequest("shop", 2, 3, 1, 4, 125)
GRANT = CreditGrant(2, 0, True, 1.25)


class NoUpdates:
    """Exchange of state updates that sends and receives none."""

    def open(self, _connection) -> None:
        """Ignore a new stream."""

    def close(self, _connection) -> None:
        """Ignore the end of a stream."""


def read_frame(data: bytes) -> tuple[FrameKind, list]:
    (frame,) = FrameReader().feed(data)
    return frame


def test_request_and_grant_are_decoded_as_they_were_encoded():
    kind, (number, *fields) = read_frame(encode_credit_request(7, REQUEST))
    assert (kind, number) == (FrameKind.CREDIT_REQUEST, 7)
    assert decode_credit_request(fields) == REQUEST
    for grant in (GRANT, None):
        kind, (number, *fields) = read_frame(encode_credit_grant(7, grant))
        assert (kind, number) == (FrameKind.CREDIT_GRANT, 7)
        assert decode_credit_grant(fields) == grant


@pytest.mark.parametrize(
    "fields",
    [
        ["shop", 4, 0, 1, 0, 0],
        ["shop", 0, -1, 1, 0, 0],
        ["shop", 0, 1 << 40, 1, 0, 0],
        ["shop", 0, 1.5, 1, 0, 0],
        ["shop", 0, True, 1, 0, 0],
        [None, 0, 0, 1, 0, 0],
    ],
)
def test_request_out_of_range_is_malformed(fields):
    """Guard against a bucket that a frame of another node breaks for all origins."""
    with pytest.raises(MalformedFrameError):
        decode_credit_request(fields)


@pytest.mark.parametrize("fields", [[-1, 0, True, 100], [1, -1, True, 100], [1, 0, True, 0]])
def test_grant_out_of_range_is_malformed(fields):
    with pytest.raises(MalformedFrameError):
        decode_credit_grant(fields)


@pytest.mark.parametrize(("version", "expected"), [([], None), ([1], None), ([2], GRANT)])
async def test_node_of_an_older_version_is_not_asked_for_credit(version, expected):
    """Guard against a stream that an older node closes because it does not know the frame."""
    asked = []

    async def handle(reader, writer):
        frames = FrameReader()
        while data := await reader.read(65_536):
            for kind, fields in frames.feed(data):
                if kind is FrameKind.PING:
                    writer.write(encode_frame(FrameKind.PONG, *version))
                elif kind is FrameKind.CREDIT_REQUEST:
                    asked.append(fields)
                    writer.write(encode_credit_grant(fields[0], GRANT))

    clock = SystemClock()
    streams = PeerStreams(NoUpdates(), clock, EventLog(clock))
    async with serve_streams(handle) as address, asyncio.timeout(5):
        assert await streams.stream(address).request_credit(REQUEST) == expected
        streams.close()
    assert bool(asked) is (expected is not None)
