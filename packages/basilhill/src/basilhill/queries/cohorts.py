"""Draw the cohort by which admission levels admit an action."""

from hashlib import blake2b

from basilhill.calls import COHORTS, Arrival

HASH_BYTES = 4
HASH_COUNT = 256**HASH_BYTES
# No customer stays in a refused cohort for longer, however long the overload lasts.
COHORT_PERIOD_MS = 60_000


def draw_cohort(arrival: Arrival, action_id: str, wall_ms: int) -> int:
    """Return the cohort of an action, 0 to COHORTS - 1.

    A customer keeps the cohort for a period. Drawn anew for each action, repeats of refused
    actions would sooner or later pass the level and fill the bottleneck that it protects.
    """
    if not arrival.named_customer:
        return cohort_of(action_id)
    # Customers change cohorts at different times, else all refused ones would come at once.
    offset_ms = cohort_of(arrival.customer) * COHORT_PERIOD_MS // COHORTS
    return cohort_of(f"{(wall_ms + offset_ms) // COHORT_PERIOD_MS}/{arrival.customer}")


def cohort_of(name: str) -> int:
    """Return the cohort that a name hashes to."""
    return hash_of(name) % COHORTS


def place_of(name: str) -> float:
    """Return the place from 0 to 1 that a name hashes to, the same on all nodes."""
    return hash_of(name) / HASH_COUNT


def hash_of(name: str) -> int:
    """Return a number below HASHES that does not change between processes."""
    return int.from_bytes(blake2b(name.encode(), digest_size=HASH_BYTES).digest())
