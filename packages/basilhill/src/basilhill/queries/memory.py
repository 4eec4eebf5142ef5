"""Read the memory that messages take."""

from basilhill.memory import COMPLETE_LIMIT_FACTOR, HeldMessage, MemoryAccount, MessageKind


def may_read(account: MemoryAccount, message: HeldMessage) -> bool:
    """Return whether an incomplete message may be read further."""
    return account.held_bytes <= account.limit_bytes or message is first_readable(account)


def first_readable(account: MemoryAccount) -> HeldMessage | None:
    """Return the message that is read although the account is full, None if there is none.

    If all incomplete messages waited for each other, none would end and free its memory.
    """
    first = first_message(account)
    if first is None or complete_bytes_before(account, first) > full_bytes(account):
        return None
    return first


def complete_bytes_before(account: MemoryAccount, message: HeldMessage) -> int:
    """Return the bytes of the complete messages that end without an incomplete one."""
    if message.kind is MessageKind.RESPONSE:
        return account.complete_bytes[MessageKind.RESPONSE]
    return sum(account.complete_bytes.values())


def full_bytes(account: MemoryAccount) -> float:
    return account.limit_bytes * COMPLETE_LIMIT_FACTOR


def first_message(account: MemoryAccount) -> HeldMessage | None:
    """Return the incomplete message that is read first, None if there is none."""
    return min(account.reading, key=reading_order, default=None)


def reading_order(message: HeldMessage) -> tuple[int, int]:
    return message.kind, message.sequence


def readable_again(account: MemoryAccount) -> list[HeldMessage]:
    """Return the paused messages that may be read further, in the order of reading.

    Announced bytes count as held, so that no more is granted than there is room for.
    """
    first, held_bytes, readable = first_readable(account), account.held_bytes, []
    for message in sorted(filter(is_paused, account.reading), key=reading_order):
        if held_bytes + message.announced <= account.limit_bytes or message is first:
            held_bytes += message.announced
            readable.append(message)
    return readable


def evictable(account: MemoryAccount) -> list[HeldMessage]:
    """Return the paused requests that may be refused to make room for a response, largest first.

    A response shows the outcome of work that has run, and these requests have not begun. The
    largest ones make room with the fewest refusals.
    """
    if account.held_bytes <= account.limit_bytes:
        return []
    requests = [one for one in account.reading if one.paused and one.kind is MessageKind.REQUEST]
    return sorted(requests, key=eviction_order, reverse=True)


def eviction_order(message: HeldMessage) -> tuple[int, int]:
    return message.size, message.sequence


def has_waiting_message(account: MemoryAccount) -> bool:
    """Return whether a message waits for memory."""
    return any(map(is_paused, account.reading))


def is_paused(message: HeldMessage) -> bool:
    return message.paused
