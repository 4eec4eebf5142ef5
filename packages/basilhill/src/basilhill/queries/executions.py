"""Read execution records."""

from hashlib import blake2b

from basilhill.calls import CallRequest
from basilhill.executions import ExecutionRecord, ExecutionTable
from basilhill.outcomes import Outcome

DIGEST_BYTES = 8


def find_execution(table: ExecutionTable, key: str, now_ms: int) -> ExecutionRecord | None:
    """Return the record of a key, None if there is none or it has expired."""
    record = table.records.get(key)
    if record is None or (record.outcome is not None and now_ms >= record.expires_ms):
        return None
    return record


def has_free_capacity(table: ExecutionTable) -> bool:
    """Return whether the table has capacity for one more record."""
    return len(table.records) < table.capacity


def request_digest(request: CallRequest) -> bytes:
    """Return a digest that is equal for repeated attempts, whose headers may differ."""
    head = f"{request.service}\n{request.method}\n{request.path}\n".encode()
    return blake2b(head + request.body, digest_size=DIGEST_BYTES).digest()


def stored_bytes(outcome: Outcome) -> int:
    """Return the size of the body and headers of an outcome in bytes."""
    if outcome.is_error():
        return 0
    answer = outcome.ok
    headers = sum(len(header.name) + len(header.value) for header in answer.headers)
    return len(answer.body) + headers
