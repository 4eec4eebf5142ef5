"""Memory of the messages of a node, and the connections whose reading waits for it."""

from typing import Protocol

from attrs import define, field
from basilhill.commands.memory import (
    announce_message,
    hold_complete,
    pause_beyond_limit,
    release_message,
    resize_incomplete,
    resume_message,
)
from basilhill.memory import UNCOUNTED_BYTES, HeldMessage, MemoryAccount, MessageKind
from basilhill.queries.memory import evictable, readable_again

BYTES_PER_MB = 1 << 20
# Memory of a node whose platform states none.
DEFAULT_MEMORY_MB = 200
# Part of a node's memory for messages. The rest is for the program, for one message of the largest
# size, and for the copies of a message while it is encoded.
MESSAGE_MEMORY_SHARE = 1 / 4


class PausableReader(Protocol):
    """Connection whose reading can wait, or body whose sender can."""

    def update_reading(self) -> None:
        """Pause or resume reading, as the message in progress requires, or grant the body."""
        ...


class RefusableReader(PausableReader, Protocol):
    """Reader of a request, which can be refused before it is complete."""

    def abandon(self) -> None:
        """Refuse the request in progress, whose memory a response needs."""
        ...


@define(eq=False)
class MessageMemory:
    """Account of the messages of a node, with the connections that read them."""

    account: MemoryAccount
    readers: dict[HeldMessage, PausableReader] = field(factory=dict)

    @classmethod
    def of_node(cls, memory_mb: int = DEFAULT_MEMORY_MB) -> "MessageMemory":
        """Return the account of a node whose process may take `memory_mb`."""
        return cls(MemoryAccount(int(memory_mb * BYTES_PER_MB * MESSAGE_MEMORY_SHARE)))

    def resize(self, message: HeldMessage, size: int, reader: PausableReader) -> None:
        """Record the size of an incomplete message; pause its reader if memory is short."""
        if size <= UNCOUNTED_BYTES and not message.size:
            return
        was_paused = message.paused
        self.readers[message] = reader
        resize_incomplete(self.account, message, size)
        if message.paused is not was_paused:
            reader.update_reading()
        self.pause_readers()
        if message.kind is MessageKind.RESPONSE:
            self.make_room()

    def pause_readers(self) -> None:
        """Pause the readers whose messages may not be read beyond the limit."""
        for message in pause_beyond_limit(self.account):
            if message in self.readers:
                self.readers[message].update_reading()

    def make_room(self) -> None:
        """Refuse paused requests while a response is read beyond the limit."""
        for message in evictable(self.account):
            if self.account.held_bytes <= self.account.limit_bytes:
                return
            # A refusal releases memory, which can end or resume others.
            if message.paused and message in self.readers:
                self.readers[message].abandon()

    def announce(self, message: HeldMessage, size: int, reader: PausableReader) -> None:
        """Record a large message whose sender waits; its reader grants it once there is room."""
        self.readers[message] = reader
        announce_message(self.account, message, size)
        self.resume_readers()

    def hold(self, message: HeldMessage, size: int) -> None:
        """Record the size of a complete message, which is held until it is released."""
        if size <= UNCOUNTED_BYTES and not message.size:
            return
        hold_complete(self.account, message, size)
        self.readers.pop(message, None)
        self.resume_readers()

    def release(self, message: HeldMessage) -> None:
        """Remove a message from the account, and resume the readers that have room now."""
        if message.size or message.announced:
            release_message(self.account, message)
            self.readers.pop(message, None)
            self.resume_readers()

    def resume_readers(self) -> None:
        self.pause_readers()
        for message in readable_again(self.account):
            if not message.paused or message not in self.readers:
                continue
            resume_message(self.account, message)
            self.readers[message].update_reading()
            if message.kind is MessageKind.RESPONSE:
                self.make_room()
