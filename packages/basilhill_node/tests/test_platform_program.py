"""Tests of the node as a process: invalid settings, reload and shutdown."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

PROGRAM = (sys.executable, "-m", "basilhill_node.platform")
# The metrics port is fixed, so each test run uses a separate address.
ADDRESS = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.9"


def settings(ports: list[int]) -> dict:
    peer, client, ready, backend, store = ports
    return {
        "self": {
            "nodeName": "node-1",
            "ip": ADDRESS,
            "zone": "a",
            "service": "calendar",
            "appAddr": f"{ADDRESS}:{backend}",
        },
        "network": {
            "listen": {
                "inbound": f"{ADDRESS}:{peer}",
                "outbound": f"{ADDRESS}:{client}",
                "ready": f"{ADDRESS}:{ready}",
            }
        },
        "platform": {"platform": {"address": f"{ADDRESS}:{store}"}},
        "terms": {
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetMinRetries": 48,
            }
        },
    }


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((ADDRESS, 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def run(path: str | None) -> subprocess.CompletedProcess:
    environment = {key: value for key, value in os.environ.items() if key != "BASILHILL_CONFIG"}
    if path is not None:
        environment["BASILHILL_CONFIG"] = path
    return subprocess.run(PROGRAM, env=environment, capture_output=True, text=True, timeout=20)


def test_missing_or_invalid_settings_end_the_program_with_a_reason(tmp_path):
    """Guard against a node that starts with invalid settings or ends with a traceback."""
    bad = tmp_path / "bad.json"
    bad.write_text("{")
    partial = tmp_path / "partial.json"
    partial.write_text(json.dumps(settings([1, 2, 3, 4, 5]) | {"terms": {}}))
    for path, reason in (
        (None, "BASILHILL_CONFIG"),
        (str(tmp_path / "none"), "cannot read"),
        (str(bad), "cannot be read"),
        (str(partial), "bounds"),
    ):
        ended = run(path)
        assert ended.returncode == 2
        assert reason in ended.stderr and "Traceback" not in ended.stderr


@pytest.fixture
def node(tmp_path):
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(settings(free_ports(5))))
    environment = os.environ | {"BASILHILL_CONFIG": str(file)}
    process = subprocess.Popen(PROGRAM, env=environment, stdout=subprocess.PIPE, text=True)
    yield process, file
    if process.poll() is None:
        process.kill()
    process.wait()


def lines_until(process: subprocess.Popen, event: str) -> list[dict]:
    lines = []
    while True:
        line = process.stdout.readline()
        assert line, f"the program ended without {event!r}"
        lines.append(json.loads(line))
        if lines[-1]["event"] == event:
            return lines


def test_node_reloads_on_sighup_and_ends_in_its_grace_time_on_sigterm(node):
    """Guard against a SIGHUP that ends the node, and a SIGTERM that does not end it in time."""
    process, file = node
    lines_until(process, "started")
    changed = json.loads(file.read_text())
    changed["terms"]["bounds"]["retryBudgetRatio"] = 0.1
    file.write_text(json.dumps(changed))
    process.send_signal(signal.SIGHUP)
    assert lines_until(process, "reloaded")[-1]["changed"] == ["retry_ratio"]
    started = time.monotonic()
    process.send_signal(signal.SIGTERM)
    lines_until(process, "stopped")
    assert process.wait(timeout=10) == 0
    assert time.monotonic() - started < 4
