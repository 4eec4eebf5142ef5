"""Tables for terminal output."""

from typing import Any

from basilhill.documents import Problem
from basilhill.queries.configuration_checks import Finding
from basilhill.queries.configuration_differences import ValueChange
from rich.console import Console
from rich.table import Table
from rich.text import Text

from basilhill_cli.queries.differences import Difference
from basilhill_cli.queries.logs import LogLine, format_inputs

NO_TEAM = "(none)"


def build_table(title: str, columns: tuple[str, ...], rows: list[tuple[Any, ...]]) -> Table:
    """Return a table whose cells are plain text, because documents may contain rich markup."""
    table = Table(title=title, title_justify="left", show_edge=False)
    for number, column in enumerate(columns):
        numeric = bool(rows) and all(type(row[number]) in (int, float) for row in rows)
        table.add_column(column, justify="right" if numeric else "left", overflow="fold")
    for row in rows:
        table.add_row(*(Text(f"{cell:g}" if type(cell) is float else str(cell)) for cell in row))
    return table


def problem_table(problems: tuple[Problem, ...]) -> Table:
    columns = ("line", "team", "key", "severity", "problem", "correction")
    rows = [
        (p.line, p.team or NO_TEAM, p.key, p.severity.value, p.text, p.correction) for p in problems
    ]
    return build_table("problems", columns, rows)


def difference_table(found: tuple[Difference, ...]) -> Table:
    rows = [(d.team, d.key, d.old or "-", d.new or "-") for d in found]
    return build_table("changes", ("team", "key", "old", "new"), rows)


def finding_table(found: list[Finding]) -> Table:
    rows = [(one.entry, one.severity.value, one.text) for one in found]
    return build_table("problems", ("entry", "severity", "problem"), rows)


def change_table(found: list[ValueChange]) -> Table:
    rows = [(one.entry, one.key or "-", one.old or "-", one.new or "-") for one in found]
    return build_table("changes", ("entry", "key", "old", "new"), rows)


def status_table(nodes: list[dict[str, Any]]) -> Table:
    columns = ("node", "service", "data centre", "state", "level", "running", "queued", "limit")
    rows = [
        (
            node["node"],
            node["service"],
            node["data_centre"],
            "leaving" if node["leaving"] else "ready" if node["ready"] else "not ready",
            *(node[key] for key in ("level", "in_flight", "queued", "limit")),
            ", ".join(f"{team}@{number}" for team, number in sorted(node["sections"].items())),
        )
        for node in nodes
    ]
    return build_table("nodes", (*columns, "active sections"), rows)


def trace_table(lines: list[LogLine]) -> Table:
    """Return a table of the lines about one request, with the time since the first line."""
    first = lines[0].fields["timestamp"]
    rows = [
        (
            f"{(line.fields['timestamp'] - first) * 1000:.0f}",
            line.source or "-",
            line.fields["message_type"],
            line.request,
            line.fields["event"],
            format_inputs(line),
        )
        for line in lines
    ]
    return build_table("decisions", ("ms", "source", "part", "request", "event", "inputs"), rows)


def summary_table(found: list[dict[str, Any]]) -> Table:
    columns = ("route", "outcome", "reason", "version", "count")
    return build_table("requests", columns, [tuple(row[name] for name in columns) for row in found])


def refused_table(refused: list[dict[str, Any]]) -> Table:
    rows = [
        (entry["team"] or NO_TEAM, entry["revision"], entry["nodes"], "\n".join(entry["problems"]))
        for entry in refused
    ]
    return build_table("refused sections", ("team", "revision", "nodes", "problems"), rows)


def outcome_table(outcomes: dict[str, dict[str, Any]]) -> Table:
    columns = ("action", "service", "class", "completed", "failed", "not run", "may have run")
    percentiles = ("p50", "p90", "p99")
    rows = [
        (
            action,
            *(row[key] for key in ("service", "class", "completed", "failed")),
            *(row[key] for key in ("not_run", "may_have_run", "retries")),
            *(round(row["latency_ms"].get(name, 0.0), 1) for name in percentiles),
            ", ".join(f"{reason} {number}" for reason, number in sorted(row["reasons"].items())),
        )
        for action, row in outcomes.items()
    ]
    latency = tuple(f"{name} ms" for name in percentiles)
    return build_table("customer actions", (*columns, "retries", *latency, "refused because"), rows)


def decision_table(decisions: list[dict[str, Any]]) -> Table:
    columns = ("ms ago", "node", "service", "part", "choice", "reason")
    keys = ("age_ms", "node", "service", "part", "choice", "reason")
    return build_table("decisions", columns, [tuple(d[key] for key in keys) for d in decisions])


def print_unreached(console: Console, nodes: dict[str, str]) -> None:
    for url, reason in nodes.items():
        console.print(Text(f"{url}: {reason}"))
