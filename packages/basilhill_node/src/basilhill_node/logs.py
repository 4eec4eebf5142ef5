"""Log lines for routing and placement decisions."""

import sys
from collections import deque
from typing import Any, TextIO

import eliot
from attrs import define, field, frozen
from basilhill.clocks import Clock

LINES_PER_S = 200
DECISIONS_KEPT = 10_000


@frozen
class Decision:
    """Hold one decision of a node."""

    time_ms: int
    part: str
    action_id: str
    choice: str
    reason: str


@define
class DecisionLog:
    """Keep the latest decisions and write a line for each, up to a rate."""

    clock: Clock
    decisions: deque[Decision] = field(factory=lambda: deque(maxlen=DECISIONS_KEPT))
    window_ms: int = 0
    lines: int = 0
    omitted: int = 0

    def record(self, part: str, action_id: str, choice: str, reason: str = "") -> None:
        """Keep a decision and write its line."""
        now_ms = self.clock.now_ms()
        self.decisions.append(Decision(now_ms, part, action_id, choice, reason))
        if now_ms - self.window_ms >= 1000:
            if self.omitted:
                eliot.log_message("log", text=f"{self.omitted} lines omitted")
            self.window_ms, self.lines, self.omitted = now_ms, 0, 0
        if self.lines >= LINES_PER_S:
            self.omitted += 1
            return
        self.lines += 1
        text = f"{action_id} {choice}" if action_id else choice
        eliot.log_message(part, text=f"{text} ({reason})" if reason else text)


def write_lines_to(stream: TextIO) -> None:
    """Write every log message as one readable line."""

    def write(message: dict[str, Any]) -> None:
        text = message.get("text") or message.get("reason", "")
        stream.write(f"{message['timestamp']:.3f} {message.get('message_type')}: {text}\n")

    eliot.add_destinations(write)


def start_logging() -> None:
    """Log to standard output, because VMs have no disks."""
    write_lines_to(sys.stdout)
