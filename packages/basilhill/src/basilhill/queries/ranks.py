"""Ranks of calls: the urgency of the customer's request, then the depth of the call."""

DEPTHS = 16


def call_rank(rank: int, depth: int) -> int:
    """Return the rank of a call; deeper calls go first, because a refusal wastes more work."""
    return rank * DEPTHS + DEPTHS - 1 - min(depth, DEPTHS - 1)


def split_rank(rank: int) -> tuple[int, int]:
    """Return the rank of the customer's request and the depth of a call."""
    return rank // DEPTHS, DEPTHS - 1 - rank % DEPTHS
