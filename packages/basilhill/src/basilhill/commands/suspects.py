"""Record which requests ran while a backend server crashed."""

from basilhill.suspects import SuspectRecord, SuspectReport, SuspectTable


def mark_suspect(
    table: SuspectTable, fingerprint: str, crashes: frozenset[str], now_ms: int
) -> bool:
    """Add crashes during which a request ran; return whether any was new."""
    record = take_record(table, fingerprint, now_ms)
    new = not crashes <= record.crashes
    if new:
        record.crashes |= crashes
        record.expires_ms = now_ms + table.ttl_ms
    keep_record(table, record)
    return new


def clear_suspect(
    table: SuspectTable, fingerprint: str, crashes: frozenset[str], now_ms: int
) -> bool:
    """Record that a request ran cleanly after these crashes; return whether that was new."""
    record = take_record(table, fingerprint, now_ms)
    new = not crashes <= record.cleared
    if new:
        record.crashes |= crashes
        record.cleared |= crashes
        record.expires_ms = now_ms + table.ttl_ms
    keep_record(table, record)
    return new


def take_record(table: SuspectTable, fingerprint: str, now_ms: int) -> SuspectRecord:
    """Take the record of a request out of the table, a new one if there is none."""
    expire_suspects(table, now_ms)
    return table.records.pop(fingerprint, None) or SuspectRecord(fingerprint)


def keep_record(table: SuspectTable, record: SuspectRecord) -> None:
    """Put a record back as the latest, in place of the oldest if the table is full."""
    table.records[record.fingerprint] = record
    if len(table.records) > table.capacity:
        del table.records[next(iter(table.records))]


def expire_suspects(table: SuspectTable, now_ms: int) -> None:
    """Drop records whose time-to-live is over."""
    expired = [key for key, record in table.records.items() if record.expires_ms <= now_ms]
    for fingerprint in expired:
        del table.records[fingerprint]


def apply_report(table: SuspectTable, report: SuspectReport, now_ms: int) -> bool:
    """Apply what a peer reported; return whether it was news."""
    if report.cleared:
        return clear_suspect(table, report.fingerprint, report.crashes, now_ms)
    return mark_suspect(table, report.fingerprint, report.crashes, now_ms)
