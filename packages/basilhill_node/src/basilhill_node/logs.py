"""Decision log of a node and its log lines."""

import atexit
import logging
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from queue import Empty, Full, Queue
from threading import Thread
from typing import Any
from uuid import uuid4

import eliot
from attrs import define, field
from basilhill.clocks import Clock

LINES_PER_S = 200
DECISIONS_MAX = 10_000
# About 200 kB of lines; when standard output blocks for longer, lines are dropped and counted.
QUEUED_LINES_MAX = 2_000
BATCH_LINES = 500
BATCH_INTERVAL_S = 0.02
CLOSE_TIMEOUT_S = 1.0
LIBRARY_TEXT_MAX_CHARS = 500


@define
class Decision:
    """Decision of a node about one call or event."""

    time_ms: int
    part: str
    action_id: str
    choice: str
    reason: str


@define
class DecisionLog:
    """Latest decisions of a node, written as at most `LINES_PER_S` lines per second."""

    clock: Clock
    decisions: deque[Decision] = field(factory=lambda: deque(maxlen=DECISIONS_MAX))
    window_ms: int = 0
    lines: int = 0
    omitted: int = 0
    # eliot.log_message creates a UUID and an action for each message, which takes 31 us. Its
    # underlying logger takes 5 us for a complete message, so the whole process uses one task id.
    logger: eliot.Logger = field(factory=eliot.Logger)
    task: str = field(factory=lambda: str(uuid4()))
    sequence: int = 0

    def record(self, part: str, action_id: str, choice: str, reason: str = "") -> None:
        """Store a decision and write its line; above the rate limit, only count the line."""
        now_ms = self.clock.now_ms()
        self.decisions.append(Decision(now_ms, part, action_id, choice, reason))
        if now_ms - self.window_ms >= 1000:
            omitted, self.omitted = self.omitted, 0
            self.window_ms, self.lines = now_ms, 0
            if omitted:
                self.write("log", f"{omitted} lines omitted")
        if self.lines >= LINES_PER_S:
            self.omitted += 1
            return
        self.lines += 1
        text = f"{action_id} {choice}" if action_id else choice
        self.write(part, f"{text} ({reason})" if reason else text)

    def write(self, part: str, text: str) -> None:
        self.sequence += 1
        self.logger.write(
            {
                "timestamp": self.clock.wall_ms() / 1000,
                "task_uuid": self.task,
                "task_level": [self.sequence],
                "message_type": part,
                "text": text,
            }
        )


def encode_text_line(message: dict[str, Any]) -> str:
    """Return a message as one line of text."""
    text = message.get("text") or message.get("reason", "")
    return f"{message['timestamp']:.3f} {message['message_type']}: {text}\n"


class LineWriter:
    """Writer of lines from a thread, so that a blocked file descriptor delays no call."""

    def __init__(
        self,
        descriptor: int,
        queue_size: int = QUEUED_LINES_MAX,
        encode: Callable[[dict[str, Any]], str] | None = None,
    ) -> None:
        self.descriptor = descriptor
        self.encode = encode or encode_text_line
        self.lines: Queue[str | None] = Queue(queue_size)
        # Each counter is only incremented, by one thread, so that no update is lost.
        self.lost = 0
        self.unwritten = 0
        self.reported = 0
        self.thread = Thread(target=self.run, name="log", daemon=True)
        self.thread.start()

    def write(self, message: dict[str, Any]) -> None:
        """Queue a message as one line; count it as lost if the queue is full."""
        try:
            self.lines.put_nowait(self.encode(message))
        except Full:
            self.lost += 1

    def run(self) -> None:
        """Write queued lines until the end marker."""
        ended = False
        while not ended:
            batch = self.next_batch()
            ended = batch[-1] is None
            text = "".join(line for line in batch if line is not None)
            lost = self.lost + self.unwritten
            if lost > self.reported:
                lines = f"{lost - self.reported} lines omitted, standard output blocked"
                text += self.encode(
                    {"timestamp": time.time(), "message_type": "log", "text": lines}
                )
                self.reported = lost
            self.write_all(text.encode(errors="backslashreplace"))
            time.sleep(BATCH_INTERVAL_S)

    def next_batch(self) -> list[str | None]:
        """Wait for a line; return it with the lines queued after it."""
        batch = [self.lines.get()]
        try:
            while len(batch) < BATCH_LINES and batch[-1] is not None:
                batch.append(self.lines.get_nowait())
        except Empty:
            pass
        return batch

    def write_all(self, data: bytes) -> None:
        """Write to the descriptor; if it is closed, count the lines as unwritten."""
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
        except OSError:
            self.unwritten += data.count(b"\n")

    def close(self) -> None:
        """Write the queued lines, waiting at most `CLOSE_TIMEOUT_S` for queue and thread each."""
        try:
            self.lines.put(None, timeout=CLOSE_TIMEOUT_S)
        except Full:
            return
        self.thread.join(CLOSE_TIMEOUT_S)


class LibraryHandler(logging.Handler):
    """Handler that writes each log record of a library as one line.

    The default handler writes to standard error, which could block the event loop.
    """

    def __init__(self, writer: LineWriter) -> None:
        super().__init__(logging.WARNING)
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; an exception is reduced to its type and text."""
        text = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            text = f"{text}: {record.exc_info[1]!r}"
        line = " ".join(text.split())[:LIBRARY_TEXT_MAX_CHARS]
        self.writer.write({"timestamp": record.created, "message_type": record.name, "text": line})


def start_logging(encode: Callable[[dict[str, Any]], str] = encode_text_line) -> None:
    """Log to standard output, because VMs have no disk."""
    writer = LineWriter(sys.stdout.fileno(), encode=encode)
    eliot.add_destinations(writer.write)
    logging.getLogger().addHandler(LibraryHandler(writer))
    atexit.register(writer.close)
