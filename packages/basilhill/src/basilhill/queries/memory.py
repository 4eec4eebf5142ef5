"""Read the memory that messages take."""

from basilhill.memory import HeldMessage, MemoryAccount


def may_read(account: MemoryAccount, message: HeldMessage) -> bool:
    """Return whether an incomplete message may be read further.

    One message is always read: if all waited, none would end and free its memory.
    """
    return account.held_bytes <= account.limit_bytes or message is first_message(account)


def first_message(account: MemoryAccount) -> HeldMessage | None:
    """Return the incomplete message that is read first, None if there is none."""
    return min(account.reading, key=reading_order, default=None)


def reading_order(message: HeldMessage) -> tuple[int, int]:
    return message.kind, message.sequence


def readable_again(account: MemoryAccount) -> list[HeldMessage]:
    """Return the paused messages that may be read further."""
    if account.held_bytes <= account.limit_bytes:
        return [message for message in account.reading if message.paused]
    first = first_message(account)
    return [first] if first is not None and first.paused else []
