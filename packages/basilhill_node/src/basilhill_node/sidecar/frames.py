"""Frames of the streams between sidecar nodes and their encoding.

A frame is a length of four bytes and a msgpack array that begins with the frame's kind. Arrays
without field names reduce the traffic between data centres.
"""

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Any

import msgspec
from attrs import define, field, frozen
from basilhill.backends import BackendEntry
from basilhill.outcomes import (
    Answer,
    ExecutionStatus,
    Header,
    Reason,
    Refusal,
    received_outcome,
)
from expression import Error

from basilhill_node.sidecar.messages import REPEATED_HEADER_BYTES
from basilhill_node.sidecar.positions import StorePosition
from basilhill_node.sidecar.segments import Buffer

LENGTH_PREFIX = struct.Struct(">I")
# The operators' limits allow bodies of up to 64 MB; the rest of a frame is small.
MAX_FRAME_BYTES = 80 << 20
EXECUTION_STATUSES = (
    ExecutionStatus.ANSWERED,
    ExecutionStatus.NOT_RUN,
    ExecutionStatus.MAY_HAVE_RUN,
)
# Version of the frames, with which each PING and PONG ends. Version 1 sends large bodies ahead of
# their frames, version 2 lends credit, version 3 states eras of the store. A node of version 0
# ignores the field. All nodes close a stream with an unknown kind.
FRAMES_VERSION = 3
CREDIT_VERSION = 2
ERA_VERSION = 3
# Levels and shares are encoded as integers in these steps, which take fewer bytes than floats.
LEVEL_STEPS = 256
SHARE_STEPS = 100
# msgpack encodes numbers below 128 in one byte.
MAX_NUMBERED_HEADERS = 128
# Headers recorded to detect repetition; ids and signatures are never repeated.
MAX_SEEN_HEADERS = 256
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(list[Any])


class FrameKind(IntEnum):
    """Kind of a frame."""

    HELLO = 0
    EXECUTE = 1
    REPLY = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    CONFIGURATION = 6
    ENTRIES = 7
    SUSPECTS = 8
    SUBSCRIBE = 9
    FEED = 10
    FEED_END = 11
    BODY_OFFER = 12
    BODY_GRANT = 13
    BODY_PART = 14
    BODY_RECEIVED = 15
    CREDIT_REQUEST = 16
    CREDIT_GRANT = 17


class MalformedFrameError(Exception):
    """Invalid frame from a peer, after which its stream is closed."""


@frozen
class Hello:
    """Frame that identifies a node and reports its active version and access to the store."""

    node: str
    service: str
    version: int
    store_reachable: bool
    backend_address: str = ""


@frozen
class Subscribe:
    """Frame that asks a node for the changes after a position in the store.

    Nodes without eras of the store state none, and understand no frame that states one.
    """

    node: str
    version: int
    revision: int
    era: int | None = None

    def position(self, known: StorePosition) -> StorePosition:
        """Return the position of the subscriber; it is in the known era if it states none."""
        return StorePosition(known.era if self.era is None else self.era, self.revision)


@frozen
class Feed:
    """Frame with the changes of the store up to a position; without changes it is a heartbeat.

    `complete` is whether the rows are all entries. The configuration is empty if it is unchanged.
    In a new era, entries that are missing from a complete list are retained for `retained_ms`.
    """

    revision: int
    # Age of the sender's proof that it knows all changes, in ms. At version 0 of the frames, it is
    # the time since the sender received any response of the store, which proves nothing.
    age_ms: int
    complete: bool
    configuration: bytes
    rows: list[list[Any]]
    removed_ids: list[str]
    # None from nodes without eras of the store, which also retain no missing entries.
    era: int | None = None
    retained_ms: int = 0

    def position(self, known: StorePosition) -> StorePosition:
        """Return the position of the sender; it is in the known era if it states none."""
        return StorePosition(known.era if self.era is None else self.era, self.revision)


@define(eq=False)
class Execute:
    """Request to run a call on the backend server beside the receiver."""

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
    # Whether the call may have left this node or reached the local server; not sent to the peer.
    dispatched: bool = False


@define(eq=False)
class Reply:
    """Outcome of a call with the load of the executor and the admission level of the call's route.

    `running` counts the running and the waiting calls of the backend server.
    """

    call_id: int
    outcome: Any
    running: int = 0
    level: float = 0.0


def encode_frame(kind: FrameKind, *fields: Any) -> bytes:
    data = ENCODER.encode((int(kind), *fields))
    return LENGTH_PREFIX.pack(len(data)) + data


PING = encode_frame(FrameKind.PING, FRAMES_VERSION)
PONG = encode_frame(FrameKind.PONG, FRAMES_VERSION)


def encode_execute(execute: Execute, table: "HeaderTable", has_body: bool = True) -> bytes:
    """Return an EXECUTE frame; `has_body` is whether the body is in it or was sent ahead."""
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
        execute.body if has_body else None,
    )


def decode_execute(fields: list[Any], table: "HeaderTable") -> Execute:
    execute = Execute(*fields)
    execute.headers = table.decode(execute.headers)
    execute.share /= SHARE_STEPS
    return execute


def encode_reply(reply: Reply, table: "HeaderTable", has_body: bool = True) -> bytes:
    """Return a REPLY frame; `has_body` is whether the body is in it or was sent ahead."""
    kind, call_id, running = FrameKind.REPLY, reply.call_id, reply.running
    level = round(reply.level * LEVEL_STEPS)
    if reply.outcome.is_ok():
        answer = reply.outcome.ok
        body = answer.body if has_body else None
        content = (answer.status, table.encode(answer.headers), body)
        return encode_frame(kind, call_id, running, level, 0, content)
    refusal = reply.outcome.error
    content = (refusal.reason.value, refusal.text, refusal.retry_after_ms)
    return encode_frame(
        kind, call_id, running, level, EXECUTION_STATUSES.index(refusal.execution_status), content
    )


def decode_reply(fields: list[Any], table: "HeaderTable") -> Reply:
    """Return a reply; nodes of older versions pass on responses with an invalid status."""
    call_id, running, level, status, content = fields
    if status == 0:
        status, headers, body = content
        outcome = received_outcome(Answer(status, tuple(table.decode(headers)), body))
    else:
        reason, text, retry_after_ms = content
        outcome = Error(Refusal(EXECUTION_STATUSES[status], Reason(reason), text, retry_after_ms))
    return Reply(call_id, outcome, running, level / LEVEL_STEPS)


def encode_entry(entry: BackendEntry, now_ms: int) -> list[Any]:
    """Return a server entry as a row, with its remaining warm-up time instead of a local time."""
    return [
        entry.server_id,
        entry.service,
        entry.address,
        entry.data_centre,
        entry.slots,
        entry.draining,
        max(0, entry.warm_until_ms - now_ms),
        entry.started_ms,
    ]


def decode_entry_row(row: list[Any], now_ms: int) -> BackendEntry:
    *head, cold_ms, started_ms = row
    return BackendEntry(*head, now_ms + cold_ms if cold_ms else 0, started_ms)


@define(eq=False)
class HeaderTable:
    """Numbers of repeated headers in one direction of a stream; a number takes one byte.

    A header is encoded as its number, as name and value, or as None, name and value, which assigns
    the next number on both sides. A number is assigned when a header occurs for the second time.
    """

    numbers: dict[Header, int] = field(factory=dict)
    headers: list[Header] = field(factory=list)
    seen: set[Header] = field(factory=set)

    def encode(self, headers: list[Header] | tuple[Header, ...]) -> list[Any]:
        """Return headers in encoded form and assign numbers."""
        encoded: list[Any] = []
        for header in headers:
            number = self.numbers.get(header)
            if number is not None:
                encoded.append(number)
                continue
            if self.assign_number(header):
                encoded.append(None)
            encoded += (header.name, header.value)
        return encoded

    def assign_number(self, header: Header) -> bool:
        """Record that a header occurs; return whether it gets a number now."""
        if len(header.name) + len(header.value) > REPEATED_HEADER_BYTES:
            return False
        if header in self.seen and len(self.headers) < MAX_NUMBERED_HEADERS:
            self.number(header)
            return True
        if len(self.seen) >= MAX_SEEN_HEADERS:
            self.seen.clear()
        self.seen.add(header)
        return False

    def decode(self, encoded: list[Any]) -> list[Header]:
        """Decode headers; raise ValueError or IndexError for an invalid encoding."""
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
                    raise ValueError(f"more than {MAX_NUMBERED_HEADERS} numbered headers")
                self.number(header)
            headers.append(header)
        return headers

    def number(self, header: Header) -> None:
        self.numbers[header] = len(self.headers)
        self.headers.append(header)


@define(eq=False)
class FrameReader:
    """Parser that splits a stream of bytes into frames."""

    buffer: bytearray = field(factory=bytearray)

    def feed(self, data: Buffer) -> Iterator[tuple[FrameKind, list[Any]]]:
        """Yield the complete frames; raise MalformedFrameError for invalid ones."""
        self.buffer += data
        start = 0
        while len(self.buffer) - start >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self.buffer, start)
            if size > MAX_FRAME_BYTES:
                raise MalformedFrameError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes")
            end = start + LENGTH_PREFIX.size + size
            if len(self.buffer) < end:
                break
            yield self.decode(bytes(self.buffer[start + LENGTH_PREFIX.size : end]))
            start = end
        del self.buffer[:start]

    def decode(self, data: bytes) -> tuple[FrameKind, list[Any]]:
        try:
            kind, *fields = DECODER.decode(data)
            return FrameKind(kind), fields
        except (msgspec.MsgspecError, ValueError) as error:
            raise MalformedFrameError(str(error)) from error
