"""Ranks of calls: the urgency of the customer's request, then the depth already reached."""

DEPTHS = 16


def call_rank(rank: int, depth: int) -> int:
    """Return the rank of a call: deeper ones go first, since more work is lost with them."""
    return rank * DEPTHS + DEPTHS - 1 - min(depth, DEPTHS - 1)


def split_rank(rank: int) -> tuple[int, int]:
    """Return the rank of the customer's request and the depth of a call."""
    return rank // DEPTHS, DEPTHS - 1 - rank % DEPTHS
