"""The basilhill program."""

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
from basilhill_cli.nodes import NodeReport, ask_nodes, node_list
from basilhill_cli.queries import logs as logs_queries
from basilhill_cli.queries import summaries
from basilhill_cli.queries.differences import differences
from basilhill_cli.queries.runs import read_run

SUCCESS, FINDING, FAILURE = 0, 1, 2
FOLLOW_S = 2.0

HELP = """Check the operators' document and watch the outcomes that nodes report.

Exit status: 0 success, 1 a negative finding such as a refused document, 2 the work failed.
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
    Parameter(name="--log", negative="", help="Log of nodes, - for standard input; repeatable."),
]
Json = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON for programs.")]


def fail(text: str) -> int:
    """Print why the work cannot be done; return the exit status."""
    print(f"basilhill: {text}", file=sys.stderr)
    return FAILURE


def show(value: Any, as_json: bool, *found: Table | str) -> None:
    """Print a value as JSON, or tables for people."""
    if as_json:
        print(json.dumps(value), flush=True)
        return
    # Without a terminal the width is that of a log, so that cells stay on one line.
    console = Console() if sys.stdout.isatty() else Console(width=200)
    # Printed as a whole: rich ends the program with status 1, a finding, when its reader has gone.
    with console.capture() as captured:
        for part in found:
            console.print(part)
    print(captured.get(), end="", flush=True)


def read_document(file: Path) -> Result[CheckedDocument, str]:
    """Return a checked document, or why its file cannot be read."""
    try:
        return Ok(check_document(file.read_text(encoding="utf-8")))
    except OSError as error:
        return Error(f"cannot read {file}: {error.strerror}")
    except UnicodeDecodeError as error:
        line = error.object.count(b"\n", 0, error.start) + 1
        return Error(f"line {line} of {file} is not UTF-8; save the file as UTF-8")


@app.command
def check(document: Path, *, as_json: Json = False) -> int:
    """Report all problems of a document; exit with 1 if a section would be refused."""
    read = read_document(document)
    if read.is_error():
        return fail(read.error)
    checked = read.ok
    problems = [asdict(p) | {"severity": p.severity.value} for p in checked.problems]
    teams = len(checked.policies)
    found = [tables.problem_table(checked.problems)] if checked.problems else []
    verdict = "refused" if checked.refused else f"accepted, {teams} teams"
    show(
        {"accepted": not checked.refused, "problems": problems},
        as_json,
        *found,
        f"{document}: {verdict}",
    )
    return FINDING if checked.refused else SUCCESS


@app.command
def diff(old: Path, new: Path, *, as_json: Json = False) -> int:
    """Show what changes for which team; exit with 1 if the new document would be refused."""
    documents = [read_document(file) for file in (old, new)]
    for read in documents:
        if read.is_error():
            return fail(read.error)
    before, after = (read.ok for read in documents)
    if before.refused:
        return fail(f"{old} has problems; run basilhill check {old}")
    if after.refused:
        print(f"basilhill: {new} has problems; run basilhill check {new}", file=sys.stderr)
        return FINDING
    found = differences(before.policies, after.policies)
    shown = tables.difference_table(found) if found else "no changes"
    show([asdict(difference) for difference in found], as_json, shown)
    return SUCCESS


def ask(nodes: list[str] | None, file: Path | None, path: str) -> Result[tuple, str]:
    """Return the reports of the nodes named, or why none can be asked."""
    named = node_list(nodes or (), file)
    if named.is_error():
        return Error(named.error)
    return Ok(asyncio.run(ask_nodes(named.ok, path)))


def finish(reports: tuple[NodeReport, ...]) -> int:
    """Print the nodes that gave no report; return the exit status."""
    missing = summaries.unreached(reports)
    tables.print_unreached(Console(stderr=True, soft_wrap=True), missing)
    return FAILURE if missing else SUCCESS


@app.command
def status(*, node: Nodes = None, nodes: NodesFile = None, as_json: Json = False) -> int:
    """Show nodes, levels, leaving, sections in force and refused sections."""
    asked = ask(node, nodes, "/status")
    if asked.is_error():
        return fail(asked.error)
    found, refused = summaries.answers(asked.ok), summaries.refused_sections(asked.ok)
    value = {"nodes": found, "unreached": summaries.unreached(asked.ok)}
    shown = [tables.status_table(found)] if found else []
    if refused:
        shown.append(tables.refused_table(refused))
    show(value, as_json, *shown)
    return finish(asked.ok) or (FINDING if refused else SUCCESS)


@app.command
def outcomes(
    *,
    service: str = "",
    follow: Annotated[bool, Parameter(negative="")] = False,
    node: Nodes = None,
    nodes: NodesFile = None,
    as_json: Json = False,
) -> int:
    """Show per kind of action what became of it since the nodes started.

    Parameters
    ----------
    service
        Only actions that start at this service.
    follow
        Ask again every 2 s until interrupted.
    """
    path = f"/outcomes?service={quote(service)}"
    if follow:
        return asyncio.run(follow_outcomes(node, nodes, path, as_json))
    asked = ask(node, nodes, path)
    return fail(asked.error) if asked.is_error() else report_outcomes(asked.ok, as_json)


def report_outcomes(reports: tuple[NodeReport, ...], as_json: bool) -> int:
    """Show the outcomes that nodes report; return the exit status."""
    found = summaries.combined_outcomes(reports)
    value = {"actions": found, "unreached": summaries.unreached(reports)}
    show(value, as_json, tables.outcome_table(found) if found else "no customer actions yet")
    return finish(reports)


async def follow_outcomes(
    node: list[str] | None, nodes: Path | None, path: str, as_json: bool
) -> int:
    """Show the outcomes again and again, from the nodes listed at each time."""
    while True:
        named = node_list(node or (), nodes)
        if named.is_error():
            return fail(named.error)
        reports = await ask_nodes(named.ok, path)
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
    """Show the decisions for one action; exit with 1 if no node or log asked kept any.

    Parameters
    ----------
    action_id
        Value of the Basilhill-Action header of the answer; with logs, the id of the attempt.
    """
    if log:
        return explain_from_logs(action_id, log, as_json)
    asked = ask(node, nodes, f"/decisions/{quote(action_id, safe='')}")
    if asked.is_error():
        return fail(asked.error)
    found = summaries.combined_decisions(asked.ok)
    value = {"decisions": found, "unreached": summaries.unreached(asked.ok)}
    shown = tables.decision_table(found) if found else f"no decisions kept for {action_id}"
    show(value, as_json, shown)
    return finish(asked.ok) or (SUCCESS if found else FINDING)


def explain_from_logs(request_id: str, files: list[Path], as_json: bool) -> int:
    """Show the lines about a request and its calls in order of time; return the exit status."""
    read = logs_queries.read_logs(files)
    if read.is_error():
        return fail(read.error)
    found = logs_queries.story_of(read.ok, request_id)
    shown = tables.story_table(found) if found else f"no line about {request_id}"
    show([line.fields | {"source": line.source} for line in found], as_json, shown)
    omitted = logs_queries.omitted_lines(read.ok)
    if omitted and not as_json:
        print(f"{omitted} lines of these logs were left out under load")
    return SUCCESS if found else FINDING


@app.command
def logs(files: list[Path], *, as_json: Json = False) -> int:
    """Count the requests in logs by route, outcome, reason and configuration version.

    Parameters
    ----------
    files
        Logs of nodes; - for standard input.
    """
    read = logs_queries.read_logs(files)
    if read.is_error():
        return fail(read.error)
    found = logs_queries.summary_of(read.ok)
    omitted = logs_queries.omitted_lines(read.ok)
    shown = tables.summary_table(found) if found else "no requests in these logs"
    value = {"requests": found, "omitted_lines": omitted}
    show(value, as_json, shown, f"{omitted} lines were left out under load")
    return SUCCESS if found else FINDING


@app.command
def plot(run: Path, *, output: Annotated[Path, Parameter(name=["--output", "-o"])]) -> int:
    """Draw goodput and recovery over time of a measurement run (needs matplotlib)."""
    read = read_run(run)
    if read.is_error():
        return fail(read.error)
    plotted = plot_run(read.ok, output)
    if plotted.is_error():
        return fail(plotted.error)
    print(f"wrote {output}")
    return SUCCESS


def main() -> None:
    """Run the program."""
    try:
        sys.exit(app())
    except KeyboardInterrupt:
        sys.exit(SUCCESS)
    except BrokenPipeError:
        # The reader, for example head, has ended; what is still buffered has nowhere to go.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(FAILURE)


if __name__ == "__main__":
    main()
