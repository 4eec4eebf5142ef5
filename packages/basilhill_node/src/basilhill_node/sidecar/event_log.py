"""Structured log lines of a sidecar node, bounded in number."""

from collections import Counter
from typing import Any
from uuid import uuid4

import eliot
import msgspec
from attrs import define, field
from basilhill.clocks import Clock

# Lines a second about requests that went as usual, and about everything else. At 200 lines the
# writer takes under 1 % of a core.
ROUTINE_LINES_PER_S = 40
NOTABLE_LINES_PER_S = 160
ENCODER = msgspec.json.Encoder()


@define(eq=False)
class EventLog:
    """Write a line for each decision, up to a rate, and count the lines left out."""

    clock: Clock
    window_ms: int = 0
    lines: Counter[bool] = field(factory=Counter)
    omitted: int = 0
    # eliot.log_message draws a UUID for each message, 31 us; the logger below it takes 5 us.
    logger: eliot.Logger = field(factory=eliot.Logger)
    task: str = field(factory=lambda: str(uuid4()))
    sequence: int = 0

    def record(
        self, part: str, event: str, request_id: str = "", routine: bool = False, **inputs: Any
    ) -> None:
        """Write what was decided with the inputs that decided it."""
        now_ms = self.clock.now_ms()
        if now_ms - self.window_ms >= 1000:
            omitted, self.omitted = self.omitted, 0
            self.window_ms = now_ms
            self.lines.clear()
            if omitted:
                self.write("log", "lines omitted", "", {"count": omitted})
        if self.lines[routine] >= (ROUTINE_LINES_PER_S if routine else NOTABLE_LINES_PER_S):
            self.omitted += 1
            return
        self.lines[routine] += 1
        self.write(part, event, request_id, inputs)

    def write(self, part: str, event: str, request_id: str, inputs: dict[str, Any]) -> None:
        """Write one line."""
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
        message.update(inputs)
        self.logger.write(message)


def encode_json_line(message: dict[str, Any]) -> str:
    """Return a message as one line of JSON, without the fields that are the same on all lines."""
    shown = {key: value for key, value in message.items() if key not in ("task_uuid", "task_level")}
    return ENCODER.encode(shown).decode() + "\n"
