"""Read the state of the slots of a backend server."""

from basilhill.queries.rate_limits import MS_PER_S, bucket_depth, token_wait_ms, tokens_at
from basilhill.slots import ConcurrencyLimiter

# Calls sent at once to a server that has not responded yet: it may state a limit, which a restarted
# node does not know.
FIRST_CALLS = 4
# Calls admitted per call that a rate limit allows. Random gaps between calls would leave tokens
# unused otherwise, and few calls can wait for a token.
RATE_HEADROOM = 1.25
# Half-life of the share of refused calls without new ones, so that the server gets calls again.
SHED_HALF_LIFE_MS = 5_000
# A server that refuses this share of its calls reports all its slots as in use.
FULL_SHED_RATE = 0.5


def has_free_slot(limiter: ConcurrencyLimiter) -> bool:
    """Return whether the server can run one more call now."""
    usable = limiter.slots if limiter.heard else min(limiter.slots, FIRST_CALLS)
    return limiter.in_flight < usable


def expected_slot_wait_ms(limiter: ConcurrencyLimiter, position: int) -> float:
    """Return the expected wait in ms of a call at a position of the queue."""
    slot_wait_ms = (position + 1) * limiter.service_ms / max(1, limiter.slots)
    if limiter.rate is None:
        return slot_wait_ms
    return max(slot_wait_ms, token_wait_ms(limiter.rate, position))


def sustained_calls(limiter: ConcurrencyLimiter, utilisation: float) -> float:
    """Return the mean number of calls in flight that the slots and the rate limit sustain."""
    calls = utilisation * max(1, limiter.slots)
    if limiter.rate is None:
        return calls
    return min(calls, RATE_HEADROOM * limiter.rate.per_s / MS_PER_S * limiter.service_ms)


def reported_calls(limiter: ConcurrencyLimiter, now_ms: int) -> int:
    """Return the running and waiting calls that a server reports to the origins.

    A server without tokens, or one that refuses calls although it has free slots, reports more
    slots as in use, so that calls go to other servers.
    """
    running, waiting = limiter.in_flight, len(limiter.waiting)
    used_share = min(1.0, shed_rate_at(limiter, now_ms) / FULL_SHED_RATE)
    if limiter.rate is not None:
        used_share = max(
            used_share, 1.0 - tokens_at(limiter.rate, now_ms) / bucket_depth(limiter.rate)
        )
    return max(running, round(limiter.slots * used_share)) + waiting


def shed_rate_at(limiter: ConcurrencyLimiter, now_ms: int) -> float:
    """Return the share of calls that the server refuses, which decays without calls."""
    if not limiter.shed_rate:
        return 0.0
    return limiter.shed_rate * 0.5 ** ((now_ms - limiter.shed_ms) / SHED_HALF_LIFE_MS)


def queue_drain_ms(limiter: ConcurrencyLimiter) -> float:
    """Return the time in ms until all queued calls have got a slot."""
    return expected_slot_wait_ms(limiter, len(limiter.waiting))
