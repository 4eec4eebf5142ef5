"""Requests that may have crashed a backend server."""

from enum import Enum

from attrs import define, field, frozen


class Suspicion(Enum):
    """Tell how a request is treated after crashes of backend servers that ran it."""

    NONE = "none"
    SUSPECT = "suspect"
    REFUSED = "refused"


@define
class CrashRecord:
    """Keep the crashes during which a request ran, each as node id and count on that node.

    Cleared crashes are kept too: their reports may still come from a peer that passes them on.
    """

    fingerprint: str
    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    expires_ms: int = 0


@frozen
class SuspectReport:
    """Tell peers of crashes during which a request ran, or that it ran cleanly after them."""

    fingerprint: str
    crashes: frozenset[str]
    cleared: bool = False


@define
class SuspectTable:
    """Keep suspects for a time-to-live."""

    ttl_ms: int
    capacity: int = 10_000
    records: dict[str, CrashRecord] = field(factory=dict)
