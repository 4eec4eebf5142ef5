"""Tests of the command-line tool, on files and against a small real fleet."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest
from basilhill_cli import main
from basilhill_cli.nodes import NodeReport
from basilhill_cli.queries.runs import MeasuredRun, Second, recovered_at_s
from basilhill_cli.queries.summaries import combine_decisions, refused_sections
from basilhill_fakes.processes import new_fleet
from basilhill_fakes.workloads import WORKLOADS
from expression import Ok

ROOT = Path(__file__).parents[3]
WEBSHOP = ROOT / "examples/webshop.toml"


@pytest.fixture
def invalid_document(tmp_path):
    file = tmp_path / "invalid.toml"
    file.write_text(WEBSHOP.read_text().replace("slots = 25", "slots = 0"))
    return file


def test_check_accepts_an_example_and_refuses_an_invalid_document(invalid_document, capsys):
    assert main.check(WEBSHOP) == 0
    capsys.readouterr()
    assert main.check(invalid_document, as_json=True) == 1
    problem = json.loads(capsys.readouterr().out)["problems"][0]
    assert problem["key"] == "service.ledger.slots"
    assert problem["line"] == 77


def test_unreadable_files_are_failures_and_not_findings(tmp_path, invalid_document, capsys):
    """Guard against exit status 1, which means a finding, for a command that failed."""
    assert main.check(tmp_path / "none.toml") == 2
    assert main.diff(WEBSHOP, tmp_path / "none.toml") == 2
    assert main.diff(WEBSHOP, invalid_document) == 1
    assert main.plot(invalid_document, output=tmp_path / "x.png") == 2
    assert main.status(nodes=invalid_document) == 2
    assert main.status() == 2
    assert "Traceback" not in capsys.readouterr().err


def test_document_that_is_not_utf_8_is_reported_with_its_line(tmp_path, capsys):
    file = tmp_path / "latin.toml"
    file.write_bytes('[team.a]\ncontact = "é"\n'.encode("latin-1"))
    assert main.check(file) == 2
    assert "line 2 of" in capsys.readouterr().err


def test_closed_pipe_prints_no_traceback():
    """Guard against a traceback when the reader of standard output exits early."""
    process = subprocess.Popen(
        [sys.executable, "-m", "basilhill_cli.main", "check", str(WEBSHOP)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    process.stdout.close()
    with process.stderr as errors:
        assert errors.read() == b""
    assert process.wait(10) == 2


def report(url, body, received_ms=0):
    return NodeReport(url, Ok(body), received_ms)


def test_refused_section_is_shown_with_the_line_number_known_to_one_node():
    """Guard against a problem without its line number.

    A node that received the section from a peer does not know the line.
    """
    problems = ["team a: slots: wrong"], ["line 7: team a: slots: wrong"], ["team a: slots: wrong"]
    reports = tuple(
        report(str(n), {"refused": {"a": {"revision": 2, "problems": given}}})
        for n, given in enumerate(problems)
    )
    [entry] = refused_sections(reports)
    assert (entry["nodes"], entry["problems"]) == (3, ["line 7: team a: slots: wrong"])


def test_decisions_are_ordered_by_time_when_nodes_respond_at_different_times():
    """Guard against a start shown before the routing decision that led to it."""
    first = {"node": "a", "service": "s", "decisions": [{"age_ms": 100, "choice": "route"}]}
    second = {"node": "b", "service": "s", "decisions": [{"age_ms": 103, "choice": "start"}]}
    found = combine_decisions((report("a", first, 1_000), report("b", second, 1_005)))
    assert [(d["choice"], d["age_ms"]) for d in found] == [("route", 105), ("start", 103)]


def test_follow_shows_outcomes_until_interrupted(monkeypatch, capsys):
    """Guard against a follow mode that stops after one report or requests only once."""
    requested_paths = []

    async def respond(nodes, path):
        requested_paths.append(path)
        if len(requested_paths) > 2:
            raise KeyboardInterrupt
        return (report(nodes.urls[0], {"actions": {}}),)

    monkeypatch.setattr(main, "fetch_reports", respond)
    monkeypatch.setattr(main, "FOLLOW_S", 0.01)
    with pytest.raises(KeyboardInterrupt):
        main.outcomes(service="ledger", follow=True, node=["http://127.0.0.1:7402"])
    assert requested_paths == ["/outcomes?service=ledger"] * 3
    assert capsys.readouterr().out.count("no customer actions yet") == 2


def test_diff_reports_the_team_and_the_key(tmp_path, capsys):
    new = tmp_path / "new.toml"
    new.write_text(WEBSHOP.read_text().replace("slots = 25", "slots = 30"))
    assert main.diff(WEBSHOP, new, as_json=True) == 0
    assert json.loads(capsys.readouterr().out) == [
        {"team": "ledger", "key": "service.ledger.slots", "old": "25", "new": "30"}
    ]


def write_run(file: Path) -> None:
    series = [{"second": s, "completed": 10 - s, "refused": s} for s in range(5)]
    run = {"series": series, "trigger_start_s": 1, "trigger_end_s": 2}
    file.write_text(json.dumps(run | {"scenario": "storm", "mode": "basilhill"}))


def test_plot_writes_a_png_file(tmp_path):
    write_run(tmp_path / "run.json")
    assert main.plot(tmp_path / "run.json", output=tmp_path / "run.png") == 0
    assert (tmp_path / "run.png").read_bytes().startswith(b"\x89PNG")


def test_recovery_starts_when_goodput_stays_recovered(tmp_path):
    """Guard against a recovery reported although goodput drops again later."""
    completed = [10, 10, 2, 9, 3, 10, 9]
    series = [Second(number, count, 0) for number, count in enumerate(completed)]
    assert recovered_at_s(MeasuredRun(series, 2, 3, "storm", "basilhill")) == 5
    assert recovered_at_s(MeasuredRun(series[:5], 2, 3, "storm", "basilhill")) is None


def test_plot_without_matplotlib_names_the_package_to_install(tmp_path, monkeypatch, capsys):
    """Guard against a traceback when the optional matplotlib is not installed."""
    write_run(tmp_path / "run.json")
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    monkeypatch.setitem(sys.modules, "matplotlib.backends.backend_agg", None)
    assert main.plot(tmp_path / "run.json", output=tmp_path / "run.png") == 2
    assert "basilhill-cli[plot]" in capsys.readouterr().err


async def run_command(*arguments: str) -> tuple[int, str, str]:
    """Run the program and return its exit status, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "basilhill_cli.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


async def test_commands_report_a_fleet_and_each_unreachable_node(tmp_path):
    """Guard against a node that drops out of a report unnoticed.

    Also guards against actions counted for a service where they did not start.
    """
    workload = WORKLOADS["webshop"]
    counts = {"catalogue": 1, "checkout": 0, "warehouse": 1, "ledger": 0}
    fleet = new_fleet(workload, tmp_path, counts=counts, settings={"administration_token": "s"})
    unreachable = "http://127.0.0.1:9"
    try:
        await fleet.start(WEBSHOP.read_text())
        urls = [vm.administration_url for vm in fleet.topology.vms]
        nodes = tmp_path / "nodes.toml"
        nodes.write_text(f'nodes = {json.dumps(urls)}\ntoken = "s"\n')
        client_url = fleet.topology.servers_of("catalogue")[0].client_url
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{client_url}/catalogue/straps") as response,
        ):
            assert response.status == 200
            action_id = response.headers["Basilhill-Action"]
        results = await asyncio.gather(
            run_command("status", "--nodes", str(nodes), "--json"),
            run_command("status", "--nodes", str(nodes), "--node", unreachable, "--json"),
            run_command("outcomes", "--nodes", str(nodes), "--service", "catalogue", "--json"),
            run_command("outcomes", "--nodes", str(nodes), "--service", "ledger", "--json"),
            run_command("explain", action_id, "--nodes", str(nodes), "--json"),
            run_command("explain", "0000", "--nodes", str(nodes)),
            run_command("status", "--node", urls[0]),
        )
    finally:
        await fleet.stop()
    status, partial, catalogue, ledger, explained, unknown, no_token = results
    assert status[0] == 0
    assert {node["service"] for node in json.loads(status[1])["nodes"]} == {
        "catalogue",
        "warehouse",
    }
    assert partial[0] == 2
    assert len(json.loads(partial[1])["nodes"]) == 2
    assert unreachable in partial[2]
    assert catalogue[0] == 0
    assert json.loads(catalogue[1])["actions"]["browse-straps"]["completed"] == 1
    assert json.loads(ledger[1])["actions"] == {}
    assert explained[0] == 0
    decisions = json.loads(explained[1])["decisions"]
    assert {decision["service"] for decision in decisions} == {"catalogue", "warehouse"}
    assert unknown[0] == 1
    assert no_token[0] == 2
    assert "401" in no_token[2]
