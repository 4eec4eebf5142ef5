"""Apply the limit of calls per second that a backend server states in its responses.

Pattern of load: servers in need state a limit far below their slots while the demand continues. The
node beside a server sends all its calls, so that it keeps the limit exactly without agreement with
other nodes.
"""

from basilhill.queries.rate_limits import tokens_at
from basilhill.slots import ConcurrencyLimiter, RateLimit

# A server that takes no calls is sent this many, since only a response shows the end of its limit.
MIN_PER_S = 0.5


def state_limit(
    limiter: ConcurrencyLimiter, per_s: float | None, sent_ms: int, now_ms: int
) -> bool:
    """Apply the limit in a response, None without one; return whether the limit changed.

    A response without a limit ends it unless its request was sent before the limit was last stated:
    responses of concurrent requests arrive in any order.
    """
    rate = limiter.rate
    if per_s is None:
        if rate is None or sent_ms < rate.stated_ms:
            return False
        limiter.rate = None
        return True
    per_s = max(MIN_PER_S, per_s)
    if rate is None:
        limiter.rate = RateLimit(per_s, now_ms, updated_ms=now_ms)
        return True
    refill_tokens(limiter, now_ms)
    changed = rate.per_s != per_s
    rate.per_s, rate.stated_ms = per_s, now_ms
    return changed


def refill_tokens(limiter: ConcurrencyLimiter, now_ms: int) -> None:
    """Add the tokens gained since the last update."""
    rate = limiter.rate
    if rate is not None:
        rate.tokens, rate.updated_ms = tokens_at(rate, now_ms), now_ms


def take_token(limiter: ConcurrencyLimiter) -> bool:
    """Take the token of one call; return whether there was one or none is needed."""
    rate = limiter.rate
    if rate is None:
        return True
    if rate.tokens < 1.0:
        return False
    rate.tokens -= 1.0
    return True


def return_token(limiter: ConcurrencyLimiter) -> None:
    """Return the token of a call that was not sent."""
    if limiter.rate is not None:
        limiter.rate.tokens += 1.0
