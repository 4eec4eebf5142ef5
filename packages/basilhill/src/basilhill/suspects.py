"""Requests that may have crashed a backend server."""

from attrs import define, field


@define
class SuspectRecord:
    """Keep the servers that crashed while a request ran."""

    fingerprint: str
    servers: set[str] = field(factory=set)
    expires_ms: int = 0


@define
class SuspectTable:
    """Keep suspects for a time-to-live."""

    ttl_ms: int
    records: dict[str, SuspectRecord] = field(factory=dict)
