"""Compare two documents."""

from collections.abc import Iterator
from typing import Any

from attrs import asdict, frozen
from basilhill.documents import SectionPolicy

PARTS = ("service", "action")
SHOWN_TEXT = 60


@frozen
class Difference:
    """Describe one change of a team's section."""

    team: str
    key: str
    old: str
    new: str


def differences(
    old: tuple[SectionPolicy, ...], new: tuple[SectionPolicy, ...]
) -> tuple[Difference, ...]:
    """Return what changes for each team from one document to another."""
    before = {policy.team: flat(policy) for policy in old}
    after = {policy.team: flat(policy) for policy in new}
    return tuple(
        Difference(team, key, shown(before, team, key), shown(after, team, key))
        for team in sorted(before | after)
        for key in sorted({**before.get(team, {}), **after.get(team, {})})
        if before.get(team, {}).get(key) != after.get(team, {}).get(key)
    )


def shown(values: dict[str, dict[str, Any]], team: str, key: str) -> str:
    """Return a value as text, empty if there is none."""
    found = values.get(team, {})
    return str(found[key])[:SHOWN_TEXT] if key in found else ""


def flat(policy: SectionPolicy) -> dict[str, Any]:
    """Return the values of a section by dotted key."""
    tables = {"contact": policy.contact}
    tables |= dict(flat_tables("service", asdict(policy, recurse=True)["services"]))
    tables |= dict(flat_tables("action", asdict(policy, recurse=True)["actions"]))
    return tables


def flat_tables(prefix: str, tables: dict[str, dict[str, Any]]) -> Iterator[tuple[str, Any]]:
    """Yield the values of named tables by dotted key."""
    for name, table in tables.items():
        for key, value in table.items():
            if key in ("name", "team", "service"):
                continue
            if isinstance(value, dict):
                yield from flat_tables(f"{prefix}.{name}.call", value)
            elif key == "priority_class":
                yield f"{prefix}.{name}.class", value.name.lower()
            else:
                yield f"{prefix}.{name}.{key}", list(value) if type(value) is tuple else value
