"""Record which requests ran while a backend server crashed."""

from basilhill.suspects import SuspectRecord, SuspectReport, SuspectTable


def mark_suspect(
    table: SuspectTable, fingerprint: str, crashes: frozenset[str], now_ms: int
) -> bool:
    """Add crashes during which a request ran; return whether any was new."""
    expire_suspects(table, now_ms)
    record = table.records.pop(fingerprint, None) or SuspectRecord(fingerprint)
    new = not crashes <= record.crashes
    if new:
        record.crashes |= crashes
        record.expires_ms = now_ms + table.ttl_ms
    table.records[fingerprint] = record
    if len(table.records) > table.capacity:
        del table.records[next(iter(table.records))]
    return new


def clear_suspect(table: SuspectTable, fingerprint: str, crashes: frozenset[str]) -> bool:
    """Forget a request that ran cleanly after these crashes; return whether it was suspect."""
    record = table.records.get(fingerprint)
    if record is None or not record.crashes <= crashes:
        return False
    del table.records[fingerprint]
    return True


def expire_suspects(table: SuspectTable, now_ms: int) -> None:
    """Drop records whose time-to-live is over."""
    expired = [key for key, record in table.records.items() if record.expires_ms <= now_ms]
    for fingerprint in expired:
        del table.records[fingerprint]


def apply_report(table: SuspectTable, report: SuspectReport, now_ms: int) -> bool:
    """Apply what a peer reported; return whether it was news."""
    if report.cleared:
        return clear_suspect(table, report.fingerprint, report.crashes)
    return mark_suspect(table, report.fingerprint, report.crashes, now_ms)
