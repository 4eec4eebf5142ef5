"""Identify the workspace of a request by its API key.

Pattern of load: every request of a customer carries a key, also those with keys that were withdrawn
or never existed. A look-up takes the same time for any number of keys.
"""

import secrets
from hashlib import blake2b

from expression import Error, Ok, Result

from basilhill.configuration import Configuration, Route
from basilhill.outcomes import Reason, Refusal, not_run
from basilhill.workspaces import Credentials, RequestQuota, Workspace, WorkspaceTable

DIGEST_BYTES = 16
# A digest with a secret of this process, so that the time of a look-up tells a caller nothing about
# the keys that exist.
DIGEST_SECRET = secrets.token_bytes(32)
# Workspaces with a greater priority rank alike, which bounds the levels that nodes report.
LEAST_PRIORITY = 255


def key_digest(key: str) -> bytes:
    """Return the digest under which a key is found; it differs between processes."""
    return blake2b(key.encode(), key=DIGEST_SECRET, digest_size=DIGEST_BYTES).digest()


def find_workspace(table: WorkspaceTable, key: str) -> Workspace | None:
    """Return the workspace that holds a key, None for an unknown key."""
    return table.by_key.get(key_digest(key))


def find_quota(configuration: Configuration | None, workspace: str) -> RequestQuota | None:
    """Return the quota of a workspace, None if the configuration has none."""
    if configuration is None or configuration.workspaces is None:
        return None
    found = configuration.workspaces.by_name.get(workspace)
    return None if found is None else found.quota


def authenticate(
    configuration: Configuration, route: Route, credentials: Credentials
) -> Result[Workspace | None, Refusal]:
    """Return the workspace of a request, None if it needs none, or why it is refused."""
    table = configuration.workspaces
    if table is None:
        return Ok(None)
    if credentials.problem:
        return Error(unauthenticated(credentials.problem))
    if credentials.key is None:
        if route.public:
            return Ok(None)
        return Error(unauthenticated(f"route {route.name} needs an API key"))
    workspace = find_workspace(table, credentials.key)
    if workspace is None:
        return Error(unauthenticated("the API key is unknown"))
    return Ok(workspace)


def unauthenticated(text: str) -> Refusal:
    return not_run(Reason.UNAUTHENTICATED, text)


def request_rank(configuration: Configuration, route: Route, workspace: Workspace | None) -> int:
    """Return the rank of a request: the priority of its workspace before that of its route.

    A request without a workspace ranks with the least urgent one.
    """
    table = configuration.workspaces
    if table is None:
        return route.priority
    priority = table.least_urgent if workspace is None else workspace.priority
    return min(priority, LEAST_PRIORITY) * configuration.route_ranks + route.priority


def least_urgent_rank(configuration: Configuration) -> int:
    """Return the greatest rank of a request, 0 without routes."""
    table = configuration.workspaces
    least = configuration.route_ranks - 1
    if table is None:
        return least
    return min(table.least_urgent, LEAST_PRIORITY) * configuration.route_ranks + least
