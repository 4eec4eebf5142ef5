"""Comparison of two documents."""

from collections.abc import Iterator
from typing import Any

from attrs import asdict, frozen
from basilhill.documents import SectionPolicy

PARTS = ("service", "action")
VALUE_TEXT_LIMIT = 60


@frozen
class Difference:
    """Change of one value in a team's section."""

    team: str
    key: str
    old: str
    new: str


def compare_policies(
    old: tuple[SectionPolicy, ...], new: tuple[SectionPolicy, ...]
) -> tuple[Difference, ...]:
    """Return the values that differ between two documents, by team and key."""
    old_values = {policy.team: flatten_section(policy) for policy in old}
    new_values = {policy.team: flatten_section(policy) for policy in new}
    return tuple(
        Difference(team, key, value_text(old_values, team, key), value_text(new_values, team, key))
        for team in sorted(old_values | new_values)
        for key in sorted({**old_values.get(team, {}), **new_values.get(team, {})})
        if old_values.get(team, {}).get(key) != new_values.get(team, {}).get(key)
    )


def value_text(values: dict[str, dict[str, Any]], team: str, key: str) -> str:
    """Return a value as text, truncated, or an empty text if the key is missing."""
    found = values.get(team, {})
    return str(found[key])[:VALUE_TEXT_LIMIT] if key in found else ""


def flatten_section(policy: SectionPolicy) -> dict[str, Any]:
    """Return the values in a section by dotted key."""
    tables = {"contact": policy.contact}
    tables |= dict(flatten_tables("service", asdict(policy, recurse=True)["services"]))
    tables |= dict(flatten_tables("action", asdict(policy, recurse=True)["actions"]))
    return tables


def flatten_tables(prefix: str, tables: dict[str, dict[str, Any]]) -> Iterator[tuple[str, Any]]:
    """Yield the dotted key and the value of each entry in named tables."""
    for name, table in tables.items():
        for key, value in table.items():
            if key in ("name", "team", "service"):
                continue
            if isinstance(value, dict):
                yield from flatten_tables(f"{prefix}.{name}.call", value)
            elif key == "priority_class":
                yield f"{prefix}.{name}.class", value.name.lower()
            else:
                yield f"{prefix}.{name}.{key}", list(value) if type(value) is tuple else value
