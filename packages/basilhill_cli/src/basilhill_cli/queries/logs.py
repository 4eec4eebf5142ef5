"""Parsing and aggregation of the structured logs of sidecar nodes."""

import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen
from expression import Error, Ok, Result

STANDARD_INPUT = Path("-")
# Fields that have their own table columns or order the lines.
COLUMN_FIELDS = ("timestamp", "message_type", "event", "request")


@frozen
class LogLine:
    """Structured log line, with the source, such as the node, that stood before its JSON."""

    source: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Return the request id of the line, or an empty text if it has none."""
        return self.fields.get("request", "")


def read_logs(files: Iterable[Path]) -> Result[list[LogLine], str]:
    """Return the structured lines in files by time, or an error text for an unreadable file."""
    lines: list[LogLine] = []
    for file in files:
        try:
            text = sys.stdin.read() if file == STANDARD_INPUT else file.read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return Error(f"cannot read {file}: {error}")
        lines.extend(parse_lines(text.splitlines()))
    return Ok(sorted(lines, key=lambda line: line.fields["timestamp"]))


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines; a log collector may have written a prefix before the JSON."""
    for line in lines:
        source, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(fields.get("timestamp"), int | float) and "message_type" in fields:
            words = source.split()
            yield LogLine(words[-1] if words else "", fields)


def trace_of(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request and its nested calls."""
    inner = f"{request_id}."
    return [line for line in lines if line.request == request_id or line.request.startswith(inner)]


def format_inputs(line: LogLine) -> str:
    """Return the remaining fields of a line as `key=value` text."""
    return " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in COLUMN_FIELDS)


def count_requests(lines: Iterable[LogLine]) -> list[dict[str, Any]]:
    """Return the counts of requests by route, outcome, reason and configuration version."""
    counts: Counter[tuple] = Counter()
    for line in lines:
        fields = line.fields
        if fields["message_type"] == "serve" and "route" in fields:
            reason = fields.get("reason", fields.get("status", ""))
            counts[fields["route"], fields["event"], str(reason), fields["version"]] += 1
    names = ("route", "outcome", "reason", "version", "count")
    return [dict(zip(names, (*key, count), strict=True)) for key, count in counts.most_common()]


def count_omitted_lines(lines: Iterable[LogLine]) -> int:
    """Return the number of lines that nodes omitted to limit their log output."""
    return sum(
        line.fields.get("count", 0) for line in lines if line.fields["message_type"] == "log"
    )
