"""Poison requests: requests that may crash the backend server."""

from enum import Enum

from attrs import define, field, frozen


class PoisonStatus(Enum):
    """Classification of a request by the crashes of backend servers that ran it."""

    NONE = "none"
    SUSPECT = "suspect"
    REFUSED = "refused"


@define
class CrashRecord:
    """Crashes during which a request ran, each as node id and count on that node.

    Cleared crashes are kept, because peers may still pass on the reports of them.
    """

    fingerprint: str
    crashes: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    expires_ms: int = 0


@frozen
class CrashReport:
    """Report to peers of crashes during which a request ran, or of a clean run after them."""

    fingerprint: str
    crashes: frozenset[str]
    cleared: bool = False


@define
class PoisonRequestTable:
    """Crash records of requests by fingerprint, kept for a time-to-live."""

    ttl_ms: int
    capacity: int = 10_000
    records: dict[str, CrashRecord] = field(factory=dict)
