"""Ranks of calls: the urgency of the customer's request, then the depth of the call."""

DEPTH_COUNT = 16


def call_rank(rank: int, depth: int) -> int:
    """Return the rank of a call; deeper calls go first, because a refusal wastes more work."""
    return rank * DEPTH_COUNT + DEPTH_COUNT - 1 - min(depth, DEPTH_COUNT - 1)


def split_rank(rank: int) -> tuple[int, int]:
    """Return the rank of the customer's request and the depth of a call."""
    return rank // DEPTH_COUNT, DEPTH_COUNT - 1 - rank % DEPTH_COUNT


def retry_rank(rank: int, depth: int) -> int:
    """Return the rank of the retries of a request: calls go before direct requests.

    A lost call fails a customer's action that has run in part, while the client of a direct request
    comes back by itself.
    """
    return 2 * rank + (depth == 0)
