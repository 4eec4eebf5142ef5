"""Frames of the streams between sidecar nodes and their encoding.

A frame is a length of four bytes and a msgpack array that begins with the frame's kind. Arrays
without field names keep the bytes between data centres few.
"""

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Any

import msgspec
from attrs import define, field, frozen
from basilhill.verdicts import Answer, Header, Reason, Refusal, Verdict
from expression import Error, Ok

LENGTH_PREFIX = struct.Struct(">I")
# Bodies have at most 64 MB by the operators' limits; msgpack adds little.
MAX_FRAME_BYTES = 80 << 20
VERDICTS = (Verdict.ANSWERED, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
# Levels travel as whole numbers, which take fewer bytes.
LEVEL_STEPS = 256
SHARE_STEPS = 100
# Numbers below 128 take one byte.
MAX_NUMBERED_HEADERS = 128
# Headers remembered to notice that one returns; ids and signatures never do.
MAX_SEEN_HEADERS = 256
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(list[Any])


class FrameKind(IntEnum):
    """Tell what a frame holds."""

    HELLO = 0
    EXECUTE = 1
    REPLY = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    CONFIGURATION = 6
    ENTRIES = 7
    SUSPECTS = 8


class MalformedFrameError(Exception):
    """End a stream whose peer sends what no node sends."""


@frozen
class Hello:
    """Introduce a node and the configuration that it has in force."""

    node: str
    service: str
    version: int
    store_reachable: bool
    backend_address: str = ""


@define(eq=False)
class Execute:
    """Ask for a run on the backend server beside the receiver."""

    call_id: int
    server_id: str
    request_id: str
    caller_service: str
    route: str
    idempotent: bool
    remaining_ms: int
    deadline_ms: int
    wait_limit_ms: int
    rank: int
    repeated: bool
    share: float
    method: str
    target: str
    headers: list[Header]
    body: bytes


@define(eq=False)
class Reply:
    """Carry the outcome of a run, the calls on the server and the admission level of its route."""

    call_id: int
    outcome: Any
    running: int = 0
    level: float = 0.0


def encode_frame(kind: FrameKind, *fields: Any) -> bytes:
    """Return the bytes of a frame."""
    data = ENCODER.encode((int(kind), *fields))
    return LENGTH_PREFIX.pack(len(data)) + data


def encode_execute(execute: Execute, table: "HeaderTable") -> bytes:
    """Return the bytes of an Execute frame."""
    return encode_frame(
        FrameKind.EXECUTE,
        execute.call_id,
        execute.server_id,
        execute.request_id,
        execute.caller_service,
        execute.route,
        execute.idempotent,
        execute.remaining_ms,
        execute.deadline_ms,
        execute.wait_limit_ms,
        execute.rank,
        execute.repeated,
        round(execute.share * SHARE_STEPS),
        execute.method,
        execute.target,
        table.encode(execute.headers),
        execute.body,
    )


def decode_execute(fields: list[Any], table: "HeaderTable") -> Execute:
    """Return an Execute record."""
    execute = Execute(*fields)
    execute.headers = table.decode(execute.headers)
    execute.share /= SHARE_STEPS
    return execute


def encode_reply(reply: Reply, table: "HeaderTable") -> bytes:
    """Return the bytes of a Reply frame."""
    kind, call_id, running = FrameKind.REPLY, reply.call_id, reply.running
    level = round(reply.level * LEVEL_STEPS)
    if reply.outcome.is_ok():
        answer = reply.outcome.ok
        content = (answer.status, table.encode(answer.headers), answer.body)
        return encode_frame(kind, call_id, running, level, 0, content)
    refusal = reply.outcome.error
    content = (refusal.reason.value, refusal.text, refusal.retry_after_ms)
    return encode_frame(kind, call_id, running, level, VERDICTS.index(refusal.verdict), content)


def decode_reply(fields: list[Any], table: "HeaderTable") -> Reply:
    """Return a Reply record."""
    call_id, running, level, verdict, content = fields
    if verdict == 0:
        status, headers, body = content
        outcome = Ok(Answer(status, tuple(table.decode(headers)), body))
    else:
        reason, text, retry_after_ms = content
        outcome = Error(Refusal(VERDICTS[verdict], Reason(reason), text, retry_after_ms))
    return Reply(call_id, outcome, running, level / LEVEL_STEPS)


@define(eq=False)
class HeaderTable:
    """Number the headers that return on one direction of a stream, so that they cost a byte.

    A header travels as its number, as name and value, or as None, name and value, which gives it
    the next number on both sides. It gets one when it is seen for the second time.
    """

    numbers: dict[Header, int] = field(factory=dict)
    headers: list[Header] = field(factory=list)
    seen: set[Header] = field(factory=set)

    def encode(self, headers: list[Header] | tuple[Header, ...]) -> list[Any]:
        """Return headers as they travel."""
        encoded: list[Any] = []
        for header in headers:
            number = self.numbers.get(header)
            if number is not None:
                encoded.append(number)
                continue
            if header in self.seen and len(self.headers) < MAX_NUMBERED_HEADERS:
                self.number(header)
                encoded.append(None)
            elif len(self.seen) < MAX_SEEN_HEADERS:
                self.seen.add(header)
            else:
                self.seen = {header}
            encoded += (header.name, header.value)
        return encoded

    def decode(self, encoded: list[Any]) -> list[Header]:
        """Return headers from how they travelled; ValueError for what no node sends."""
        headers: list[Header] = []
        parts = iter(encoded)
        for part in parts:
            if type(part) is int:
                headers.append(self.headers[part])
                continue
            numbered = part is None
            header = Header(next(parts, "") if numbered else part, next(parts, ""))
            if numbered:
                if len(self.headers) >= MAX_NUMBERED_HEADERS:
                    raise ValueError("too many numbered headers")
                self.number(header)
            headers.append(header)
        return headers

    def number(self, header: Header) -> None:
        """Give a header the next number."""
        self.numbers[header] = len(self.headers)
        self.headers.append(header)


@define(eq=False)
class FrameReader:
    """Cut a stream of bytes into frames."""

    buffer: bytearray = field(factory=bytearray)

    def feed(self, data: bytes) -> Iterator[tuple[FrameKind, list[Any]]]:
        """Yield the frames that are complete; MalformedFrameError for anything else."""
        self.buffer += data
        start = 0
        while len(self.buffer) - start >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self.buffer, start)
            if size > MAX_FRAME_BYTES:
                raise MalformedFrameError(f"a frame has {size} bytes")
            end = start + LENGTH_PREFIX.size + size
            if len(self.buffer) < end:
                break
            yield self.decode(bytes(self.buffer[start + LENGTH_PREFIX.size : end]))
            start = end
        del self.buffer[:start]

    def decode(self, data: bytes) -> tuple[FrameKind, list[Any]]:
        """Return the kind and the fields of a frame."""
        try:
            kind, *fields = DECODER.decode(data)
            return FrameKind(kind), fields
        except (msgspec.MsgspecError, ValueError) as error:
            raise MalformedFrameError(str(error)) from error
