"""Entry point and subcommands of the `basilhill` program."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

from attrs import asdict
from basilhill.queries.cross_checking import CheckedDocument, check_document
from cyclopts import App, Parameter
from expression import Error, Ok, Result
from rich.console import Console
from rich.table import Table

from basilhill_cli import tables
from basilhill_cli.commands.plot_run import plot_run
from basilhill_cli.nodes import NodeReport, fetch_reports, resolve_nodes
from basilhill_cli.platform_files import (
    CheckedConfiguration,
    check_configuration,
    decode_file,
    read_bytes,
)
from basilhill_cli.queries import logs as logs_queries
from basilhill_cli.queries import summaries
from basilhill_cli.queries.differences import compare_policies
from basilhill_cli.queries.runs import read_run

SUCCESS, FINDING, FAILURE = 0, 1, 2
FOLLOW_S = 2.0

HELP = """Check the operators' document and show the outcomes that nodes report.

Exit status: 0 success, 1 a negative finding such as a refused document, 2 the command failed.
"""

app = App(name="basilhill", help=HELP, version_flags=[])

Nodes = Annotated[
    list[str] | None,
    Parameter(name="--node", negative="", help="URL of an administration API; repeatable."),
]
NodesFile = Annotated[
    Path | None,
    Parameter(name="--nodes", help="TOML file: nodes = [URLs], token = TEXT."),
]
LogFiles = Annotated[
    list[Path] | None,
    Parameter(name="--log", negative="", help="Node log file, - for standard input; repeatable."),
]
Platform = Annotated[
    bool,
    Parameter(name="--platform", negative="", help="Files are in the format of the platform."),
]
InForce = Annotated[
    Path | None,
    Parameter(name="--in-force", help="Version in force, to compare with; needs --platform."),
]
Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON instead of tables.")]


def report_failure(text: str) -> int:
    """Print an error to standard error and return the exit status."""
    print(f"basilhill: {text}", file=sys.stderr)
    return FAILURE


def print_output(value: Any, as_json: bool, *found: Table | str) -> None:
    """Print a value as JSON, or the same data as tables and texts."""
    if as_json:
        print(json.dumps(value), flush=True)
        return
    # Output that is not a terminal is 200 columns wide, so that table cells stay on one line.
    console = Console() if sys.stdout.isatty() else Console(width=200)
    # The output is captured first: rich exits with status 1, which means a finding, when it
    # writes to a closed pipe.
    with console.capture() as captured:
        for part in found:
            console.print(part)
    print(captured.get(), end="", flush=True)


def read_document(file: Path) -> Result[CheckedDocument, str]:
    """Return a checked document, or an error text if its file cannot be read."""
    try:
        return Ok(check_document(file.read_text(encoding="utf-8")))
    except OSError as error:
        return Error(f"cannot read {file}: {error.strerror}")
    except UnicodeDecodeError as error:
        line = error.object.count(b"\n", 0, error.start) + 1
        return Error(f"line {line} of {file} is not UTF-8; save the file as UTF-8")


@app.command
def check(
    document: Path, *, platform: Platform = False, in_force: InForce = None, as_json: Json = False
) -> int:
    """List all problems in a document; exit with 1 if a section would be refused."""
    if platform:
        return check_platform_file(document, in_force, as_json)
    if in_force is not None:
        return report_failure("--in-force needs --platform; compare documents with basilhill diff")
    read = read_document(document)
    if read.is_error():
        return report_failure(read.error)
    checked = read.ok
    problems = [asdict(p) | {"severity": p.severity.value} for p in checked.problems]
    teams = len(checked.policies)
    found = [tables.problem_table(checked.problems)] if checked.problems else []
    conclusion = "refused" if checked.refused else f"accepted, {teams} teams"
    print_output(
        {"accepted": not checked.refused, "problems": problems},
        as_json,
        *found,
        f"{document}: {conclusion}",
    )
    return FINDING if checked.refused else SUCCESS


def check_platform_file(file: Path, in_force: Path | None, as_json: bool) -> int:
    """Print the findings about a configuration and what it changes; return the exit status."""
    read, before = read_bytes(file), None
    if read.is_error():
        return report_failure(read.error)
    if in_force is not None:
        decoded = read_bytes(in_force).bind(decode_file)
        if decoded.is_error():
            return report_failure(f"{in_force}: {decoded.error}")
        before = decoded.ok
    checked = check_configuration(read.ok, before)
    conclusion = "refused" if checked.refused else "accepted"
    value = configuration_value(checked) | {"accepted": not checked.refused}
    print_output(value, as_json, *configuration_tables(checked), f"{file}: {conclusion}")
    return FINDING if checked.refused else SUCCESS


def configuration_value(checked: CheckedConfiguration) -> dict[str, Any]:
    findings = [asdict(one) | {"severity": one.severity.value} for one in checked.findings]
    return {"problems": findings, "changes": [asdict(change) for change in checked.changes]}


def configuration_tables(checked: CheckedConfiguration) -> list[Table]:
    found = [tables.finding_table(checked.findings)] if checked.findings else []
    return found + ([tables.change_table(checked.changes)] if checked.changes else [])


@app.command
def diff(old: Path, new: Path, *, platform: Platform = False, as_json: Json = False) -> int:
    """Show the changes for each team; exit with 1 if the new document would be refused."""
    if platform:
        return check_platform_file(new, old, as_json)
    documents = [read_document(file) for file in (old, new)]
    for read in documents:
        if read.is_error():
            return report_failure(read.error)
    before, after = (read.ok for read in documents)
    if before.refused:
        return report_failure(f"{old} has problems; run basilhill check {old}")
    if after.refused:
        print(f"basilhill: {new} has problems; run basilhill check {new}", file=sys.stderr)
        return FINDING
    found = compare_policies(before.policies, after.policies)
    shown = tables.difference_table(found) if found else "no changes"
    print_output([asdict(difference) for difference in found], as_json, shown)
    return SUCCESS


def request_reports(nodes: list[str] | None, file: Path | None, path: str) -> Result[tuple, str]:
    """Return the reports of the listed nodes, or an error text if there is no usable list."""
    resolved = resolve_nodes(nodes or (), file)
    if resolved.is_error():
        return Error(resolved.error)
    return Ok(asyncio.run(fetch_reports(resolved.ok, path)))


def report_unreached(reports: tuple[NodeReport, ...]) -> int:
    """Print the nodes that sent no report and return the exit status."""
    missing = summaries.unreached(reports)
    tables.print_unreached(Console(stderr=True, soft_wrap=True), missing)
    return FAILURE if missing else SUCCESS


@app.command
def status(*, node: Nodes = None, nodes: NodesFile = None, as_json: Json = False) -> int:
    """Show the state, level, active sections and refused sections of each node."""
    fetched = request_reports(node, nodes, "/status")
    if fetched.is_error():
        return report_failure(fetched.error)
    found, refused = summaries.successful_reports(fetched.ok), summaries.refused_sections(
        fetched.ok
    )
    value = {"nodes": found, "unreached": summaries.unreached(fetched.ok)}
    shown = [tables.status_table(found)] if found else []
    if refused:
        shown.append(tables.refused_table(refused))
    print_output(value, as_json, *shown)
    return report_unreached(fetched.ok) or (FINDING if refused else SUCCESS)


@app.command
def outcomes(
    *,
    service: str = "",
    follow: Annotated[bool, Parameter(negative="")] = False,
    node: Nodes = None,
    nodes: NodesFile = None,
    as_json: Json = False,
) -> int:
    """Show the outcomes of each kind of customer action since the nodes started.

    Parameters
    ----------
    service
        Only actions that start at this service.
    follow
        Repeat the request every 2 s until interrupted.
    """
    path = f"/outcomes?service={quote(service)}"
    if follow:
        return asyncio.run(follow_outcomes(node, nodes, path, as_json))
    fetched = request_reports(node, nodes, path)
    return (
        report_failure(fetched.error)
        if fetched.is_error()
        else report_outcomes(fetched.ok, as_json)
    )


def report_outcomes(reports: tuple[NodeReport, ...], as_json: bool) -> int:
    """Print the outcomes that nodes report and return the exit status."""
    found = summaries.combine_outcomes(reports)
    value = {"actions": found, "unreached": summaries.unreached(reports)}
    print_output(
        value, as_json, tables.outcome_table(found) if found else "no customer actions yet"
    )
    return report_unreached(reports)


async def follow_outcomes(
    node: list[str] | None, nodes: Path | None, path: str, as_json: bool
) -> int:
    """Print the outcomes every `FOLLOW_S` seconds, reading the list of nodes again each time."""
    while True:
        resolved = resolve_nodes(node or (), nodes)
        if resolved.is_error():
            return report_failure(resolved.error)
        reports = await fetch_reports(resolved.ok, path)
        if not as_json:
            print(f"\n{time.strftime('%H:%M:%S')}")
        report_outcomes(reports, as_json)
        await asyncio.sleep(FOLLOW_S)


@app.command
def explain(
    action_id: str,
    *,
    node: Nodes = None,
    nodes: NodesFile = None,
    log: LogFiles = None,
    as_json: Json = False,
) -> int:
    """Show the decisions about one action; exit with 1 if no node or log has any.

    Parameters
    ----------
    action_id
        Value of the Basilhill-Action response header; with --log, the id of the attempt.
    """
    if log:
        return explain_from_logs(action_id, log, as_json)
    fetched = request_reports(node, nodes, f"/decisions/{quote(action_id, safe='')}")
    if fetched.is_error():
        return report_failure(fetched.error)
    found = summaries.combine_decisions(fetched.ok)
    value = {"decisions": found, "unreached": summaries.unreached(fetched.ok)}
    shown = tables.decision_table(found) if found else f"no decisions found for {action_id}"
    print_output(value, as_json, shown)
    return report_unreached(fetched.ok) or (SUCCESS if found else FINDING)


def explain_from_logs(request_id: str, files: list[Path], as_json: bool) -> int:
    """Print the log lines about a request and its calls by time and return the exit status."""
    read = logs_queries.read_logs(files)
    if read.is_error():
        return report_failure(read.error)
    found = logs_queries.trace_of(read.ok, request_id)
    shown = tables.trace_table(found) if found else f"no log lines found for {request_id}"
    print_output([line.fields | {"source": line.source} for line in found], as_json, shown)
    omitted = logs_queries.count_omitted_lines(read.ok)
    if omitted and not as_json:
        print(f"{omitted} lines were omitted from these logs under load")
    return SUCCESS if found else FINDING


@app.command
def logs(files: list[Path], *, as_json: Json = False) -> int:
    """Count the requests in logs by route, outcome, reason and configuration version.

    Parameters
    ----------
    files
        Node log files; - for standard input.
    """
    read = logs_queries.read_logs(files)
    if read.is_error():
        return report_failure(read.error)
    found = logs_queries.count_requests(read.ok)
    omitted = logs_queries.count_omitted_lines(read.ok)
    shown = tables.summary_table(found) if found else "no requests in these logs"
    value = {"requests": found, "omitted_lines": omitted}
    print_output(value, as_json, shown, f"{omitted} lines were omitted under load")
    return SUCCESS if found else FINDING


@app.command
def plot(run: Path, *, output: Annotated[Path, Parameter(name=["--output", "-o"])]) -> int:
    """Plot goodput and recovery of a measurement run over time (needs matplotlib)."""
    read = read_run(run)
    if read.is_error():
        return report_failure(read.error)
    plotted = plot_run(read.ok, output)
    if plotted.is_error():
        return report_failure(plotted.error)
    print(f"wrote {output}")
    return SUCCESS


def main() -> None:
    """Run the program; exit with 2 if the reader of standard output has closed it."""
    try:
        sys.exit(app())
    except KeyboardInterrupt:
        sys.exit(SUCCESS)
    except BrokenPipeError:
        # The reader of the pipe, for example head, has exited. Standard output is replaced, so
        # that the interpreter's final flush of buffered output does not raise again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(FAILURE)


if __name__ == "__main__":
    main()
