"""Tests of the rate limits and the format of the structured log."""

import json

import eliot
import pytest
from basilhill.clocks import ManualClock
from basilhill_node.sidecar.event_log import EventLog, encode_json_line


@pytest.fixture
def written():
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    # eliot sends its first destination the messages that were logged before it was added.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def events(messages: list[dict]) -> list[str]:
    return [message["event"] for message in messages]


def test_flood_of_one_event_hides_no_other(written):
    """Guard against a flood of refusals that keeps the line of a lost response out of the log."""
    log = EventLog(ManualClock())
    for _ in range(500):
        log.record("serve", "not-run", "a", reason="overloaded")
    log.record("serve", "may-have-run", "b", reason="connection-lost")
    assert events(written).count("not-run") == 30
    assert "may-have-run" in events(written)


def test_lines_of_a_second_are_bounded_and_the_rest_is_counted(written):
    """Guard against a log that grows without bound when many kinds of events occur together."""
    clock = ManualClock()
    log = EventLog(clock)
    for number in range(500):
        log.record("part", f"event {number}")
    assert len(written) == 200
    clock.advance(1_000)
    log.record("part", "next")
    assert written[200]["count"] == 300


def test_line_is_json_with_the_inputs_of_the_decision(written):
    """Guard against log lines without the inputs that are needed to explain a decision."""
    EventLog(ManualClock()).record("serve", "not-run", "id-1", version=7, age_ms=12)
    line = json.loads(encode_json_line(written[0]))
    assert (line["request"], line["version"], line["age_ms"]) == ("id-1", 7, 12)
    assert "task_uuid" not in line


def test_long_input_is_cut(written):
    """Guard against a line of the size of the input that it quotes."""
    text = "x" * 1_000_000
    EventLog(ManualClock()).record("servers", "ignored", problem=text, servers=[text] * 1_000)
    assert len(encode_json_line(written[0])) < 60_000
