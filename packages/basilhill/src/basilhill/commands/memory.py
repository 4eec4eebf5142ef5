"""Update the memory that messages take.

Pattern of load: many large bodies at the same time, or bodies without end. Slower reading costs
their senders time, while a process without memory loses all calls.
"""

from basilhill.memory import HeldMessage, MemoryAccount
from basilhill.queries.memory import may_read


def resize_incomplete(account: MemoryAccount, message: HeldMessage, size: int) -> None:
    """Record the size of an incomplete message, and whether its reading must wait."""
    if message not in account.reading:
        account.sequence += 1
        message.sequence = account.sequence
        account.reading.add(message)
    account.held_bytes += size - message.size
    message.size = size
    message.paused = not may_read(account, message)


def hold_complete(account: MemoryAccount, message: HeldMessage, size: int) -> None:
    """Record the size of a complete message, which is held until it is released."""
    was_complete = message not in account.reading
    account.reading.discard(message)
    account.complete_bytes[message.kind] += size - (message.size if was_complete else 0)
    account.held_bytes += size - message.size
    message.size = size
    message.paused = False


def release_message(account: MemoryAccount, message: HeldMessage) -> None:
    """Record that a message is no longer held."""
    hold_complete(account, message, 0)
