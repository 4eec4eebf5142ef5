"""Tests of the decision log."""

import logging
import os
import time

from basilhill.clocks import ManualClock
from basilhill_node.logs import LINES_PER_S, DecisionLog, LibraryHandler, LineWriter


class ListLogger:
    """Logger that collects the texts of messages."""

    def __init__(self) -> None:
        self.texts: list[str] = []

    def write(self, message: dict) -> None:
        self.texts.append(message["text"])


def test_lines_beyond_the_rate_are_omitted_and_counted_and_decisions_are_kept():
    """Guard against an unbounded log rate, and against losing decisions with the lines."""
    clock, logger = ManualClock(5_000), ListLogger()
    log = DecisionLog(clock, logger=logger)
    for number in range(LINES_PER_S + 30):
        log.record("route", f"action-{number}", "chosen")
    clock.advance(1_000)
    log.record("route", "last", "chosen", "reason")
    assert len(log.decisions) == LINES_PER_S + 31
    assert logger.texts[-2:] == ["30 lines omitted", "last chosen (reason)"]
    assert len(logger.texts) == LINES_PER_S + 2


def test_log_record_of_a_library_is_one_bounded_line():
    """Guard against tracebacks and long texts of libraries in the line-based log."""
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    logger = logging.Logger("library")
    logger.addHandler(LibraryHandler(lines))
    try:
        raise ValueError("x\ny" * 1_000)
    except ValueError:
        logger.exception("failed\nhere")
    lines.close()
    os.close(writer)
    with os.fdopen(reader) as read:
        (line,) = read.read().splitlines()
    assert "library: failed here: ValueError" in line
    assert len(line) < 600


def test_blocked_output_neither_blocks_callers_nor_uses_unbounded_memory():
    """Guard against a node that blocks or runs out of memory if nobody reads its output."""
    reader, writer = os.pipe()
    lines = LineWriter(writer, queue_size=100)
    message = {"timestamp": 1.0, "message_type": "route", "text": "x" * 1_000}
    started = time.monotonic()
    for _ in range(2_000):
        lines.write(message)
    # The pipe buffers 64 kB and the queue 100 lines. A write that waits for its reader never ends.
    assert time.monotonic() - started < 5
    assert lines.lost > 0
    assert lines.lines.qsize() <= 100
    os.close(reader)
    lines.close()
    os.close(writer)


def test_lines_are_written_in_order_and_queued_lines_on_close():
    """Guard against losing the last lines of a process that ends."""
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for number in range(20):
        lines.write({"timestamp": 1.0, "message_type": "route", "text": f"n{number}"})
    lines.close()
    os.close(writer)
    with os.fdopen(reader) as read:
        assert read.read().splitlines() == [f"1.000 route: n{number}" for number in range(20)]
