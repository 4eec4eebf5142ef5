"""Decoding of the tenants in the operators' configuration, which are workspaces here."""

import re
from typing import Any

from basilhill.queries.workspaces import key_digest
from basilhill.workspaces import RequestQuota, Workspace, WorkspaceTable

from basilhill_node.platform.input import (
    optional_integer,
    optional_number,
    required_text,
)

# A name travels in a header.
NAME = re.compile(r"[!-~]([ -~]{0,198}[!-~])?")
KEY = re.compile(r"[!-~]{1,1000}")


def read_workspaces(table: dict[str, Any]) -> WorkspaceTable | None:
    """Return the workspaces of a configuration, None if it has none; raise ValueError or KeyError.

    Errors name tenants and never quote a key, since they are logged.
    """
    tenants = table.get("tenants")
    if not tenants:
        return None
    workspaces = WorkspaceTable()
    for tenant in tenants:
        add_workspace(workspaces, tenant)
    return workspaces


def add_workspace(workspaces: WorkspaceTable, tenant: dict[str, Any]) -> None:
    """Add a workspace with its keys; raise ValueError for a name or a key that is not unique."""
    workspace = read_workspace(tenant)
    if workspace.name in workspaces.by_name:
        raise ValueError(f"two tenants have the name {workspace.name!r}")
    workspaces.by_name[workspace.name] = workspace
    keys = tenant["apiKeys"]
    if type(keys) is not list:
        raise ValueError(f"the keys of {workspace.name!r} are no list")
    for number, key in enumerate(keys, 1):
        if type(key) is not str or not KEY.fullmatch(key):
            raise ValueError(f"key {number} of {workspace.name!r} is no visible ASCII text")
        holder = workspaces.by_key.setdefault(key_digest(key), workspace)
        if holder is not workspace:
            raise ValueError(f"{workspace.name!r} and {holder.name!r} have the same key")


def read_workspace(tenant: dict[str, Any]) -> Workspace:
    name = required_text(tenant, "name")
    if not NAME.fullmatch(name):
        raise ValueError(f"the tenant's name is {name!r}, expected printable ASCII")
    per_s = optional_number(tenant, "ratePerS")
    burst = optional_number(tenant, "burst")
    quota = RequestQuota(per_s, burst) if per_s > 0 else None
    return Workspace(name, optional_integer(tenant, "priority"), quota)
