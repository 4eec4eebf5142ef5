"""Memory of a node that the messages of clients and servers take."""

from enum import IntEnum

from attrs import define, field

# Longer bodies between nodes are sent ahead of their frames, once they are granted.
SMALL_MESSAGE_BYTES = 64 << 10
# Shorter messages are not counted: their number is bounded by that of the connections.
UNCOUNTED_BYTES = 4 << 10
# Memory of a header beside its bytes.
HEADER_COST_BYTES = 200
# Complete messages may hold this multiple of the limit before the first incomplete one waits too.
# The memory beyond the limit is for that one alone.
COMPLETE_LIMIT_FACTOR = 0.25


class MessageKind(IntEnum):
    """Kind of a message, in the order in which messages are read while memory is short."""

    # A response shows the outcome of work that has run.
    RESPONSE = 0
    REQUEST = 1


@define(eq=False)
class HeldMessage:
    """Message of which a node holds `size` bytes; `paused` is whether its reading waits.

    `announced` bytes wait at another node until they are granted, which charges them as held. What
    was granted arrives in any case.
    """

    kind: MessageKind
    sequence: int = 0
    size: int = 0
    announced: int = 0
    granted: bool = False
    paused: bool = False


@define(eq=False)
class MemoryAccount:
    """Bytes of all messages above `UNCOUNTED_BYTES` that a node holds, and the incomplete ones.

    Beyond `limit_bytes` only the first incomplete message is read further or granted. It waits too
    while complete messages, which end without it, hold more than `COMPLETE_LIMIT_FACTOR` times the
    limit. Requests need their responses to end, so a response waits for complete responses only.
    """

    limit_bytes: int
    held_bytes: int = 0
    # Bytes of the complete messages by kind.
    complete_bytes: dict[MessageKind, int] = field(factory=lambda: dict.fromkeys(MessageKind, 0))
    sequence: int = 0
    reading: set[HeldMessage] = field(factory=set)
    # Whether all messages but `read_beyond_limit` have been paused.
    full: bool = False
    read_beyond_limit: HeldMessage | None = None
