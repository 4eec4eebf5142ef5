"""Read the rate limit of a backend server."""

from basilhill.slots import RateLimit

# Length of a burst at the limit. The platform tolerates one and a half times the limit within 4 s.
BURST_S = 0.5
MS_PER_S = 1_000


def bucket_depth(rate: RateLimit) -> float:
    """Return the most tokens that a rate limit accumulates."""
    return 1.0 + rate.per_s * BURST_S


def tokens_at(rate: RateLimit, now_ms: int) -> float:
    """Return the tokens of a rate limit at a time."""
    gained = (now_ms - rate.updated_ms) * rate.per_s / MS_PER_S
    return min(bucket_depth(rate), rate.tokens + gained)


def token_wait_ms(rate: RateLimit, position: int) -> float:
    """Return the time in ms from the last update until a call at a position gets a token."""
    return max(0.0, position + 1 - rate.tokens) * MS_PER_S / rate.per_s
