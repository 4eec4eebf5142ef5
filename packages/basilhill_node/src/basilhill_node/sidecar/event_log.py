"""Structured log of a sidecar node with a bounded rate of lines."""

from collections import Counter
from typing import Any
from uuid import uuid4

import eliot
import msgspec
from attrs import define, field
from basilhill.clocks import Clock

# Same limit as in `basilhill_node.logs`.
LINES_PER_S = 200
# Limit for one event and reason, so that a flood of refusals does not displace rare failures.
LINES_PER_KIND_S = 30
# Longest text and list in a line; problems quote input of others.
MAX_TEXT_CHARS = 1_000
MAX_LIST_ITEMS = 50
ENCODER = msgspec.json.Encoder()


@define(eq=False)
class EventLog:
    """Rate-limited log of decisions that counts the omitted lines."""

    clock: Clock
    window_ms: int = 0
    lines: int = 0
    kinds: Counter[tuple[str, str, str]] = field(factory=Counter)
    omitted: int = 0
    # eliot.log_message creates a UUID for each message, which takes 31 us; Logger.write takes 5 us.
    logger: eliot.Logger = field(factory=eliot.Logger)
    task: str = field(factory=lambda: str(uuid4()))
    sequence: int = 0

    def should_log(self, part: str, event: str, reason: str = "") -> bool:
        """Return whether a line would be written now; count it as omitted if not."""
        if self.clock.now_ms() - self.window_ms >= 1000:
            return True
        if self.lines < LINES_PER_S and self.kinds[part, event, reason] < LINES_PER_KIND_S:
            return True
        self.omitted += 1
        return False

    def record(self, part: str, event: str, request_id: str = "", **inputs: Any) -> None:
        """Write a decision with its inputs, or count the line as omitted above the rate limit."""
        now_ms = self.clock.now_ms()
        if now_ms - self.window_ms >= 1000:
            omitted, self.omitted = self.omitted, 0
            self.window_ms = now_ms
            self.lines = 0
            self.kinds.clear()
            if omitted:
                self.write("log", "lines omitted", "", {"count": omitted})
        kind = part, event, inputs.get("reason", "")
        if self.lines >= LINES_PER_S or self.kinds[kind] >= LINES_PER_KIND_S:
            self.omitted += 1
            return
        self.lines += 1
        self.kinds[kind] += 1
        self.write(part, event, request_id, inputs)

    def write(self, part: str, event: str, request_id: str, inputs: dict[str, Any]) -> None:
        self.sequence += 1
        message = {
            "timestamp": self.clock.wall_ms() / 1000,
            "task_uuid": self.task,
            "task_level": [self.sequence],
            "message_type": part,
            "event": event,
        }
        if request_id:
            message["request"] = request_id
        message.update((name, shortened(value)) for name, value in inputs.items())
        self.logger.write(message)


def shortened(value: Any) -> Any:
    """Return a value of a line, cut to `MAX_TEXT_CHARS` or `MAX_LIST_ITEMS`."""
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        return f"{value[:MAX_TEXT_CHARS]}... ({len(value)} characters)"
    if isinstance(value, list) and len(value) > MAX_LIST_ITEMS:
        return [shortened(item) for item in value[:MAX_LIST_ITEMS]] + [f"... ({len(value)} items)"]
    return value


def encode_json_line(message: dict[str, Any]) -> str:
    """Return a message as one line of JSON, without eliot's task id and level.

    The task id is the same on all lines, and the level is only the number of the line.
    """
    shown = {key: value for key, value in message.items() if key not in ("task_uuid", "task_level")}
    return ENCODER.encode(shown).decode() + "\n"
