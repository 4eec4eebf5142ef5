"""Record the requests that ran while a backend server crashed."""

from basilhill.poison_requests import CrashRecord, CrashReport, PoisonRequestTable


def apply_crash_report(table: PoisonRequestTable, report: CrashReport, now_ms: int) -> bool:
    """Add the report of a node about a request; return whether it changed the record."""
    record = table.records.pop(report.fingerprint, None)
    if record is None or now_ms >= record.expires_ms:
        record = CrashRecord(report.fingerprint)
    is_new = not report.crashes <= (record.cleared if report.cleared else record.crashes)
    if is_new:
        record.crashes |= report.crashes
        record.expires_ms = now_ms + table.ttl_ms
    if report.cleared:
        record.cleared |= report.crashes
    table.records[report.fingerprint] = record
    if len(table.records) > table.capacity:
        del table.records[next(iter(table.records))]
    return is_new


def expire_crash_records(table: PoisonRequestTable, now_ms: int) -> None:
    """Remove records whose time-to-live has ended."""
    expired = [key for key, record in table.records.items() if record.expires_ms <= now_ms]
    for fingerprint in expired:
        del table.records[fingerprint]
