"""Combine the reports of several nodes."""

from typing import Any

from basilhill_cli.nodes import NodeReport

COUNTS = ("completed", "failed", "not_run", "may_have_run", "retries")


def unreached(reports: tuple[NodeReport, ...]) -> dict[str, str]:
    """Return the nodes that gave no report, with the reason."""
    return {report.url: report.answer.error for report in reports if report.answer.is_error()}


def answers(reports: tuple[NodeReport, ...]) -> list[dict[str, Any]]:
    """Return the reports of the nodes that answered."""
    return [report.answer.ok for report in reports if report.answer.is_ok()]


def combined_outcomes(reports: tuple[NodeReport, ...]) -> dict[str, dict[str, Any]]:
    """Return counts per kind of action over all nodes; of latencies the highest of any node.

    Percentiles of several nodes cannot be added; the highest is an upper bound of the whole.
    """
    combined: dict[str, dict[str, Any]] = {}
    for report in answers(reports):
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
    """Return a row without counts for a kind of action."""
    counts = dict.fromkeys(COUNTS, 0)
    return {"service": found["service"], "class": found["class"], **counts} | {
        "reasons": {},
        "latency_ms": {},
    }


def combined_decisions(reports: tuple[NodeReport, ...]) -> list[dict[str, Any]]:
    """Return the decisions of all nodes, the oldest first."""
    # A node tells the age at its answer, and the answers do not come at the same time.
    last_ms = max((report.received_ms for report in reports), default=0)
    decisions = [
        {
            "node": report.answer.ok["node"],
            "service": report.answer.ok["service"],
            **decision,
            "age_ms": decision["age_ms"] + last_ms - report.received_ms,
        }
        for report in reports
        if report.answer.is_ok()
        for decision in report.answer.ok["decisions"]
    ]
    return sorted(decisions, key=lambda decision: -decision["age_ms"])


def refused_sections(reports: tuple[NodeReport, ...]) -> list[dict[str, Any]]:
    """Return each refused section once, with the number of nodes that refused it."""
    found: dict[tuple[str, int], dict[str, Any]] = {}
    for report in answers(reports):
        for team, refused in report["refused"].items():
            entry = {"team": team, **refused, "nodes": 0}
            entry = found.setdefault((team, refused["revision"]), entry)
            entry["nodes"] += 1
            # Only nodes that read the document themselves know the lines.
            entry["problems"] = max(entry["problems"], refused["problems"], key=lines_named)
    return list(found.values())


def lines_named(problems: list[str]) -> int:
    """Return how many problems name their line."""
    return sum(problem.startswith("line ") for problem in problems)
