"""Tests of the node as a process: invalid settings, reload, shutdown and signals at its start.

Environment variables: SEED draws other moments, TRIES sets their number for each signal.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest
from basilhill.clocks import SystemClock
from basilhill_node.platform.settings import decode_settings
from basilhill_node.sidecar.commands import reload_settings
from basilhill_node.sidecar.commands.reload_settings import SettingsReloader
from basilhill_node.sidecar.event_log import EventLog

PROGRAM = (sys.executable, "-m", "basilhill_node.platform")
# The metrics port is fixed, so each test run uses a separate address.
NETWORK = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
ADDRESS = f"{NETWORK}.9"
SEED = int(os.environ.get("SEED", "1"))
TRIES = int(os.environ.get("TRIES", "8"))
# Nodes that start at the same time in the tests of signals.
STARTS_AT_ONCE = 4
# Part of a node's start during which signals are sent, in seconds.
START_S = 1.0
# Bit of SIGHUP in the masks of a process.
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def settings(ports: list[int], address: str = ADDRESS) -> dict:
    peer, client, ready, backend, store = ports
    return {
        "self": {
            "nodeName": "node-1",
            "ip": address,
            "zone": "a",
            "service": "calendar",
            "appAddr": f"{address}:{backend}",
        },
        "network": {
            "listen": {
                "inbound": f"{address}:{peer}",
                "outbound": f"{address}:{client}",
                "ready": f"{address}:{ready}",
            }
        },
        "platform": {"platform": {"address": f"{address}:{store}"}},
        "terms": {
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetMinRetries": 48,
            }
        },
    }


def free_ports(count: int, address: str = ADDRESS) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((address, 0))
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


async def test_change_of_the_file_during_the_start_is_applied(tmp_path, monkeypatch):
    """Guard against a node that keeps the settings of its start if they change before it polls."""
    monkeypatch.setattr(reload_settings, "POLL_S", 0.02)
    started = json.dumps(settings([1, 2, 3, 4, 5]))
    changed = json.loads(started)
    changed["terms"]["bounds"]["retryBudgetRatio"] = 0.1
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(changed))
    active = decode_settings(started.encode()).ok
    log = EventLog(SystemClock())
    reloader = SettingsReloader(file, decode_settings, active, log, data=started.encode())
    task = asyncio.create_task(reloader.run())
    await asyncio.sleep(0.2)
    task.cancel()
    assert active.retry_ratio == 0.1


def wait_for_program(pid: int) -> None:
    """Wait until the program holds signals, or has begun to import what it depends on."""
    process = Path(f"/proc/{pid}")
    while "/site-packages/" not in (process / "maps").read_text():
        _, _, mask = (process / "status").read_text().partition("SigBlk:")
        if int(mask.split()[0], 16) & SIGHUP_BIT:
            return
        time.sleep(0.001)


async def signal_start(
    tmp_path: Path, try_number: int, number: signal.Signals, delay_s: float
) -> tuple[int | None, list[dict]]:
    """Send a signal to a node that starts; return its status and its lines until it has reacted."""
    address = f"{NETWORK}.{10 + try_number % 200}"
    file = tmp_path / f"{try_number}.json"
    file.write_text(json.dumps(settings(free_ports(5, address), address)))
    process = await asyncio.create_subprocess_exec(
        *PROGRAM,
        env=os.environ | {"BASILHILL_CONFIG": str(file)},
        stdout=asyncio.subprocess.PIPE,
    )
    lines = []
    try:
        await asyncio.to_thread(wait_for_program, process.pid)
        await asyncio.sleep(delay_s)
        process.send_signal(number)
        async with asyncio.timeout(20):
            while line := await process.stdout.readline():
                lines.append(json.loads(line))
                if number is signal.SIGHUP and lines[-1]["event"] == "reloaded":
                    return None, lines
            return await process.wait(), lines
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def signal_starts(tmp_path: Path, number: signal.Signals) -> dict[float, tuple]:
    """Send a signal at drawn moments of `TRIES` starts; return what each start led to by moment."""
    # Half of the moments are in the first tenth of the time, in which most of a start happens.
    random, turns = Random(SEED), asyncio.Semaphore(STARTS_AT_ONCE)
    delays_s = [random.uniform(0, START_S / (10 if one % 2 else 1)) for one in range(TRIES)]

    async def take_turn(try_number: int) -> tuple:
        async with turns:
            return await signal_start(tmp_path, try_number, number, delays_s[try_number])

    results = await asyncio.gather(*(take_turn(one) for one in range(TRIES)))
    return dict(zip(delays_s, results, strict=True))


async def test_sighup_at_any_moment_of_a_start_reloads(tmp_path):
    """Guard against a node that a SIGHUP ends before its handlers are installed."""
    results = await signal_starts(tmp_path, signal.SIGHUP)
    ended = {delay_s: status for delay_s, (status, _) in results.items() if status is not None}
    assert not ended, f"{len(ended)} of {TRIES} nodes ended, by the moment: {ended}"


async def test_sigterm_at_any_moment_of_a_start_ends_the_node_with_status_0(tmp_path):
    """Guard against a SIGTERM that ends a node by its default action, or not at all."""
    results = await signal_starts(tmp_path, signal.SIGTERM)
    failed = {
        delay_s: status
        for delay_s, (status, lines) in results.items()
        if status != 0 or lines[-1]["event"] != "stopped"
    }
    assert not failed, f"{len(failed)} of {TRIES} nodes failed, by the moment: {failed}"


def test_sighup_while_a_node_ends_leaves_its_status(node):
    """Guard against a SIGHUP that ends a node after its event loop has removed the handlers."""
    process, _ = node
    lines_until(process, "started")
    process.send_signal(signal.SIGTERM)
    lines_until(process, "stopped")
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        time.sleep(0.001)
    assert process.returncode == 0
