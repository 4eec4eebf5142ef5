"""Aggregation of the reports of several nodes."""

from typing import Any

from basilhill_cli.nodes import NodeReport

COUNTS = ("completed", "failed", "not_run", "may_have_run", "retries")


def unreached(reports: tuple[NodeReport, ...]) -> dict[str, str]:
    """Return the error text of each node that sent no report, by URL."""
    return {report.url: report.result.error for report in reports if report.result.is_error()}


def successful_reports(reports: tuple[NodeReport, ...]) -> list[dict[str, Any]]:
    return [report.result.ok for report in reports if report.result.is_ok()]


def combine_outcomes(reports: tuple[NodeReport, ...]) -> dict[str, dict[str, Any]]:
    """Return the counts of all nodes per kind of action, and the highest latency percentiles.

    Percentiles of several nodes cannot be added. The highest one is an upper bound for the fleet.
    """
    combined: dict[str, dict[str, Any]] = {}
    for report in successful_reports(reports):
        for action, found in report.get("actions", {}).items():
            row = combined.setdefault(action, empty_row(found))
            for count in COUNTS:
                row[count] += found[count]
            for reason, number in found["reasons"].items():
                row["reasons"][reason] = row["reasons"].get(reason, 0) + number
            for name, value in found["latency_ms"].items():
                row["latency_ms"][name] = max(value, row["latency_ms"].get(name, 0.0))
    return dict(sorted(combined.items()))


def empty_row(found: dict[str, Any]) -> dict[str, Any]:
    """Return a row with zero counts for a kind of action."""
    counts = dict.fromkeys(COUNTS, 0)
    return {"service": found["service"], "class": found["class"], **counts} | {
        "reasons": {},
        "latency_ms": {},
    }


def combine_decisions(reports: tuple[NodeReport, ...]) -> list[dict[str, Any]]:
    """Return the decisions of all nodes, oldest first."""
    # A node reports the age at the time of its response, and responses arrive at different times.
    last_ms = max((report.received_ms for report in reports), default=0)
    decisions = [
        {
            "node": report.result.ok["node"],
            "service": report.result.ok["service"],
            **decision,
            "age_ms": decision["age_ms"] + last_ms - report.received_ms,
        }
        for report in reports
        if report.result.is_ok()
        for decision in report.result.ok["decisions"]
    ]
    return sorted(decisions, key=lambda decision: -decision["age_ms"])


def refused_sections(reports: tuple[NodeReport, ...]) -> list[dict[str, Any]]:
    """Return each refused section once, with the number of nodes that refused it."""
    found: dict[tuple[str, int], dict[str, Any]] = {}
    for report in successful_reports(reports):
        for team, refused in report["refused"].items():
            entry = {"team": team, **refused, "nodes": 0}
            entry = found.setdefault((team, refused["revision"]), entry)
            entry["nodes"] += 1
            # Only nodes that read the document from the platform know the line numbers.
            entry["problems"] = max(
                entry["problems"], refused["problems"], key=count_located_problems
            )
    return list(found.values())


def count_located_problems(problems: list[str]) -> int:
    """Return the number of problems that start with a line number."""
    return sum(problem.startswith("line ") for problem in problems)
