"""Assign the cohort by which admission levels admit an action."""

from hashlib import blake2b

from basilhill.calls import COHORTS, CallMetadata

HASH_BYTES = 4
HASH_COUNT = 256**HASH_BYTES
# Limits how long a customer stays in a refused cohort during a long overload.
COHORT_PERIOD_MS = 60_000


def assign_cohort(metadata: CallMetadata, action_id: str, wall_ms: int) -> int:
    """Return the cohort of an action, 0 to COHORTS - 1.

    A customer keeps the cohort for a period. If each action got a new cohort, repeated attempts of
    refused actions would eventually pass the level and overload the bottleneck that it protects.
    """
    if not metadata.named_customer:
        return cohort_of(action_id)
    # Offset by customer, so that the refused customers do not change cohorts simultaneously.
    offset_ms = cohort_of(metadata.customer) * COHORT_PERIOD_MS // COHORTS
    return cohort_of(f"{(wall_ms + offset_ms) // COHORT_PERIOD_MS}/{metadata.customer}")


def cohort_of(name: str) -> int:
    return hash_of(name) % COHORTS


def hash_fraction(name: str) -> float:
    """Return the hash of a name as a fraction from 0 to 1, the same on all nodes."""
    return hash_of(name) / HASH_COUNT


def hash_of(name: str) -> int:
    """Return a hash below HASH_COUNT that is the same in all processes."""
    return int.from_bytes(blake2b(name.encode(), digest_size=HASH_BYTES).digest())
