"""Read execution records."""

from basilhill.executions import ExecutionRecord, ExecutionTable


def find_execution(table: ExecutionTable, key: str, now_ms: int) -> ExecutionRecord | None:
    """Return the record of a key while it is kept."""
    record = table.records.get(key)
    return record if record is not None and now_ms < record.expires_ms else None


def has_room(table: ExecutionTable) -> bool:
    """Tell whether the table can take one more record."""
    return len(table.records) < table.capacity and table.answer_bytes < table.answer_bytes_limit
