"""Update the memory that messages take.

Pattern of load: many large bodies at the same time, or bodies without end. Slower reading costs
their senders time, while a process without memory loses all calls.
"""

from basilhill.memory import HeldMessage, MemoryAccount
from basilhill.queries.memory import first_readable, may_read


def resize_incomplete(account: MemoryAccount, message: HeldMessage, size: int) -> None:
    """Record the size of an incomplete message, and whether its reading must wait."""
    add_incomplete(account, message)
    account.held_bytes += size - message.size
    message.size = size
    message.paused = not may_read(account, message)


def pause_beyond_limit(account: MemoryAccount) -> list[HeldMessage]:
    """Pause the messages that may not be read beyond the limit, and return them.

    A message that waited for its next bytes to be paused could complete or stay instead, and the
    memory that is left is for the one that is read and for its response.
    """
    if account.held_bytes <= account.limit_bytes:
        account.full, account.read_beyond_limit = False, None
        return []
    first = first_readable(account)
    if account.full and first is account.read_beyond_limit:
        return []
    account.full, account.read_beyond_limit = True, first
    paused = [one for one in account.reading if not (one.paused or one.granted or one is first)]
    for message in paused:
        message.paused = True
    return paused


def announce_message(account: MemoryAccount, message: HeldMessage, size: int) -> None:
    """Record an incomplete message whose sender waits until all its bytes are granted."""
    add_incomplete(account, message)
    message.announced = size
    message.paused = True


def add_incomplete(account: MemoryAccount, message: HeldMessage) -> None:
    if message not in account.reading:
        account.sequence += 1
        message.sequence = account.sequence
        account.reading.add(message)


def resume_message(account: MemoryAccount, message: HeldMessage) -> None:
    """Record that a message is read further, or that its announced bytes are granted."""
    account.held_bytes += message.announced
    message.granted = message.granted or message.announced > 0
    message.size += message.announced
    message.announced = 0
    message.paused = False


def hold_complete(account: MemoryAccount, message: HeldMessage, size: int) -> None:
    """Record the size of a complete message, which is held until it is released."""
    was_complete = message not in account.reading
    account.reading.discard(message)
    account.complete_bytes[message.kind] += size - (message.size if was_complete else 0)
    account.held_bytes += size - message.size
    message.size = size
    message.announced = 0
    message.paused = False


def release_message(account: MemoryAccount, message: HeldMessage) -> None:
    """Record that a message is no longer held."""
    hold_complete(account, message, 0)
