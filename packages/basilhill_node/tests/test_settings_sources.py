"""Tests of the sources of settings and of the rejection of invalid settings."""

import os
import socket
import subprocess
import sys

import pytest
from basilhill.settings import DEFAULTS
from basilhill_node.main import app, check_allowed, run
from basilhill_node.settings_sources import read_settings

REQUIRED = {
    "address": "127.0.0.1",
    "data_centre": "bucharest-1",
    "service": "calendar",
    "platform_url": "http://127.0.0.1:1",
}


def run_program(*arguments: str, options: tuple[str, ...] = ()) -> subprocess.CompletedProcess:
    command = [sys.executable, *options, "-m", "basilhill_node.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)


def test_flags_override_the_environment_and_that_overrides_the_file(tmp_path):
    """Guard against a wrong precedence of the sources."""
    file = tmp_path / "node.toml"
    file.write_text("front_port = 1\npeer_port = 1\nbackend_port = 1\n")
    environment = {"BASILHILL_FRONT_PORT": "2", "BASILHILL_PEER_PORT": "2", "HOME": "/"}
    settings = read_settings(file, environment, {**REQUIRED, "front_port": "3"}).ok
    assert (settings.front_port, settings.peer_port, settings.backend_port) == (3, 2, 1)
    assert settings.queue_limit == DEFAULTS["queue_limit"]


def test_all_problems_are_reported_at_once_with_their_keys(tmp_path):
    """Guard against reporting only the first problem, which needs a restart for each."""
    file = tmp_path / "node.toml"
    file.write_text('front_port = "high"\nlease_ms = 2.5\npeerport = 1\nhealth_path = 3\n')
    environment = {"BASILHILL_ADMINISTRATION_PORT": "99999", "BASILHILL_COLOUR": "x"}
    problems = "\n".join(read_settings(file, environment, {"queue_ms": "-1"}).error)
    for part in (
        "address: the key is missing",
        "front_port: expected a whole number",
        "lease_ms: expected a whole number, found 2.5",
        "health_path: expected a string",
        "unknown key peerport, did you mean peer_port?",
        "unknown key colour",
        "administration_port: 99999 is not a port",
        "queue_ms: -1 is negative",
    ):
        assert part in problems


@pytest.mark.parametrize("content", [None, b"x = [", b"\xff = 1"])
def test_unreadable_file_gives_a_message_and_no_traceback(tmp_path, capsys, content):
    """Guard against an unhandled exception for a missing, malformed or binary file."""
    file = tmp_path / "node.toml"
    if content is not None:
        file.write_bytes(content)
    assert run(file) == 2
    assert "node.toml" in capsys.readouterr().err


def test_program_exits_with_status_2_on_unreadable_settings(tmp_path):
    """Guard against a traceback or a wrong exit status of the whole program."""
    ended = run_program(str(tmp_path / "missing.toml"))
    assert ended.returncode == 2
    assert "cannot read" in ended.stderr
    assert "Traceback" not in ended.stderr


@pytest.mark.parametrize("name", ["front_port", "peer_port", "administration_port"])
def test_port_in_use_ends_the_program_with_one_error_line(name):
    """Guard against a node that runs without a port, and against warnings that hide the error."""
    # Other tests use addresses below 127.251.
    address = f"127.252.{os.getpid() % 250}.{os.getpid() // 250 % 250}"
    port = DEFAULTS[name]
    values = {**REQUIRED, "address": address, "administration_address": address}
    flags = [f"--{key.replace('_', '-')}={value}" for key, value in values.items()]
    with socket.create_server((address, port)):
        # Python's development mode reports unclosed resources.
        ended = run_program(*flags, options=("-X", "dev"))
    assert ended.returncode == 2
    assert f"{port}): address already in use" in ended.stderr
    assert len(ended.stderr.splitlines()) == 1
    assert "Unclosed" not in ended.stdout


def test_program_rejects_disabled_mechanisms_without_the_flag(tmp_path, capsys):
    """Guard against a production node that runs with disabled safety mechanisms."""
    file = tmp_path / "node.toml"
    lines = [f'{name} = "{value}"' for name, value in REQUIRED.items()]
    file.write_text("\n".join([*lines, 'disabled_mechanisms = ["retries"]']))
    assert run(file) == 2
    assert "for tests" in capsys.readouterr().err


def test_administration_beyond_loopback_needs_a_token():
    """Guard against exposing the administration API without a token, or the token in a repr."""
    settings = read_settings(None, {}, {**REQUIRED, "administration_address": "0.0.0.0"})
    assert "administration_token" in check_allowed(settings, False).error[0]
    with_token = {"BASILHILL_ADMINISTRATION_TOKEN": "secret"}
    settings = read_settings(None, with_token, {**REQUIRED, "administration_address": "0.0.0.0"})
    assert check_allowed(settings, False).is_ok()
    assert "secret" not in repr(settings.ok)


def test_help_shows_examples(capsys):
    """Guard against losing the examples from the help text."""
    app.help_print([])
    assert "basilhill-node node.toml" in capsys.readouterr().out
