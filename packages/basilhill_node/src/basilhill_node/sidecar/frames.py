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

LENGTH = struct.Struct(">I")
# Bodies have at most 64 MB by the operators' limits; msgpack adds little.
LONGEST_FRAME = 80 << 20
VERDICTS = (Verdict.ANSWERED, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
# Levels travel as whole numbers, which take fewer bytes.
LEVEL_STEPS = 256
SHARE_STEPS = 100
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
    patience_ms: int
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
    return LENGTH.pack(len(data)) + data


def encode_execute(execute: Execute) -> bytes:
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
        execute.patience_ms,
        execute.rank,
        execute.repeated,
        round(execute.share * SHARE_STEPS),
        execute.method,
        execute.target,
        flatten(execute.headers),
        execute.body,
    )


def decode_execute(fields: list[Any]) -> Execute:
    """Return an Execute record."""
    execute = Execute(*fields)
    execute.headers = unflatten(execute.headers)
    execute.share /= SHARE_STEPS
    return execute


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a Reply frame."""
    kind, call_id, running = FrameKind.REPLY, reply.call_id, reply.running
    level = round(reply.level * LEVEL_STEPS)
    if reply.outcome.is_ok():
        answer = reply.outcome.ok
        content = (answer.status, flatten(answer.headers), answer.body)
        return encode_frame(kind, call_id, running, level, 0, content)
    refusal = reply.outcome.error
    content = (refusal.reason.value, refusal.text, refusal.retry_after_ms)
    return encode_frame(kind, call_id, running, level, VERDICTS.index(refusal.verdict), content)


def decode_reply(fields: list[Any]) -> Reply:
    """Return a Reply record."""
    call_id, running, level, verdict, content = fields
    if verdict == 0:
        status, headers, body = content
        outcome = Ok(Answer(status, tuple(unflatten(headers)), body))
    else:
        reason, text, retry_after_ms = content
        outcome = Error(Refusal(VERDICTS[verdict], Reason(reason), text, retry_after_ms))
    return Reply(call_id, outcome, running, level / LEVEL_STEPS)


def flatten(headers: list[Header] | tuple[Header, ...]) -> list[str]:
    """Return names and values in turn."""
    flat: list[str] = []
    for header in headers:
        flat.append(header.name)
        flat.append(header.value)
    return flat


def unflatten(flat: list[str]) -> list[Header]:
    """Return headers from names and values in turn."""
    return [Header(flat[i], flat[i + 1]) for i in range(0, len(flat), 2)]


@define(eq=False)
class FrameReader:
    """Cut a stream of bytes into frames."""

    buffer: bytearray = field(factory=bytearray)

    def feed(self, data: bytes) -> Iterator[tuple[FrameKind, list[Any]]]:
        """Yield the frames that are complete; MalformedFrameError for anything else."""
        self.buffer += data
        start = 0
        while len(self.buffer) - start >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer, start)
            if size > LONGEST_FRAME:
                raise MalformedFrameError(f"a frame has {size} bytes")
            end = start + LENGTH.size + size
            if len(self.buffer) < end:
                break
            yield self.decode(bytes(self.buffer[start + LENGTH.size : end]))
            start = end
        del self.buffer[:start]

    def decode(self, data: bytes) -> tuple[FrameKind, list[Any]]:
        """Return the kind and the fields of a frame."""
        try:
            kind, *fields = DECODER.decode(data)
            return FrameKind(kind), fields
        except (msgspec.MsgspecError, ValueError) as error:
            raise MalformedFrameError(str(error)) from error
