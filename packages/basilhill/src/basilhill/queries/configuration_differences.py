"""Compare two versions of a configuration."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from attrs import asdict, frozen

from basilhill.configuration import Configuration
from basilhill.workspaces import WorkspaceTable

NO_WORKSPACES = WorkspaceTable()
# Attributes of a route that are part of its name here or shown otherwise.
OTHER_NAMES = ("host", "prefix", "services")


@frozen
class ValueChange:
    """Value of an entry in the older and the newer version; empty where there is none."""

    entry: str
    key: str
    old: str
    new: str


def configuration_differences(old: Configuration, new: Configuration) -> list[ValueChange]:
    """Return what a new version changes, without the version itself."""
    return [
        *compare_entries(route_values(old), route_values(new)),
        *compare_entries(limit_values(old), limit_values(new)),
        *compare_entries(workspace_values(old), workspace_values(new)),
        *key_changes(old.workspaces or NO_WORKSPACES, new.workspaces or NO_WORKSPACES),
    ]


def compare_entries(
    old: dict[str, dict[str, Any]], new: dict[str, dict[str, Any]]
) -> Iterator[ValueChange]:
    """Yield the values that differ, by entry and key."""
    for entry in sorted(old.keys() | new.keys()):
        before, after = old.get(entry), new.get(entry)
        if before is None or after is None:
            yield ValueChange(entry, "", shown(before), shown(after))
            continue
        for key in before:
            if before[key] != after[key]:
                yield ValueChange(entry, key, str(before[key]), str(after[key]))


def shown(values: dict[str, Any] | None) -> str:
    """Return the values of an entry as text, empty without an entry."""
    if values is None:
        return ""
    return ", ".join(f"{key}={value}" for key, value in values.items())


def route_values(configuration: Configuration) -> dict[str, dict[str, Any]]:
    return {
        f"route {route.host}{route.prefix}": asdict(
            route, recurse=False, filter=lambda attribute, _: attribute.name not in OTHER_NAMES
        )
        | {"services": services_text(route.services)}
        for routes in configuration.routes.values()
        for route in routes
    }


def services_text(services: tuple) -> str:
    return " ".join(f"{part.service}:{part.weight:g}" for part in services)


def limit_values(configuration: Configuration) -> dict[str, dict[str, Any]]:
    return {"limits": asdict(configuration.limits)}


def workspace_values(configuration: Configuration) -> dict[str, dict[str, Any]]:
    table = configuration.workspaces or NO_WORKSPACES
    return {
        f"workspace {one.name}": {
            "priority": one.priority,
            "per_s": f"{one.quota.per_s:g}" if one.quota else "unlimited",
            "burst": f"{one.quota.burst:g}" if one.quota else "unlimited",
        }
        for one in table.by_name.values()
    }


def key_changes(old: WorkspaceTable, new: WorkspaceTable) -> Iterator[ValueChange]:
    """Yield the numbers of keys that are withdrawn, given or moved, and never the keys."""
    counts: Counter[tuple[str, str]] = Counter()
    for digest in old.by_key.keys() | new.by_key.keys():
        before, after = old.by_key.get(digest), new.by_key.get(digest)
        names = (before.name if before else "", after.name if after else "")
        if names[0] != names[1]:
            counts[names] += 1
    for (before, after), count in sorted(counts.items()):
        entry = f"workspace {before or after}"
        text = f"{count} keys"
        if before and after:
            yield ValueChange(entry, "keys", text, f"moved to {after}")
        else:
            yield ValueChange(entry, "keys", text if before else "", "" if before else text)
