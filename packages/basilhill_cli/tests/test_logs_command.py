"""Tests of the commands that read the structured logs of nodes."""

import json

import pytest
from basilhill_cli import main

LINES = [
    {
        "timestamp": 2.5,
        "message_type": "serve",
        "event": "not-run",
        "request": "ab",
        "route": "r-1",
        "version": 3,
        "reason": "overloaded",
    },
    {
        "timestamp": 2.0,
        "message_type": "execute",
        "event": "may-have-run",
        "request": "ab.cd",
        "waited_ms": 30,
    },
    {
        "timestamp": 2.1,
        "message_type": "serve",
        "event": "answered",
        "request": "abc",
        "route": "r-1",
        "version": 3,
        "status": 200,
    },
    {"timestamp": 3.0, "message_type": "log", "event": "lines omitted", "count": 7},
]


@pytest.fixture
def log(tmp_path):
    file = tmp_path / "node.log"
    text = "".join(f"0.5 node-1 {json.dumps(line)}\n" for line in LINES)
    file.write_text(text + "not a line\n{broken\n")
    return file


def test_explain_shows_a_request_and_its_calls_by_time(log, capsys):
    assert main.explain("ab", log=[log], as_json=True) == 0
    trace = json.loads(capsys.readouterr().out)
    assert [(line["request"], line["source"]) for line in trace] == [
        ("ab.cd", "node-1"),
        ("ab", "node-1"),
    ]


def test_explain_reports_the_number_of_omitted_lines(log, capsys):
    assert main.explain("ab", log=[log]) == 0
    shown = capsys.readouterr().out
    assert "waited_ms=30" in shown and "7 lines" in shown


def test_request_without_lines_is_a_finding_and_a_missing_file_a_failure(log, tmp_path, capsys):
    assert main.explain("zz", log=[log]) == 1
    assert main.explain("ab", log=[tmp_path / "none"]) == 2
    assert main.logs([tmp_path / "none"]) == 2


def test_summary_counts_outcomes_by_reason_and_version(log, capsys):
    assert main.logs([log], as_json=True) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["omitted_lines"] == 7
    assert {
        "route": "r-1",
        "outcome": "not-run",
        "reason": "overloaded",
        "version": 3,
        "count": 1,
    } in found["requests"]
