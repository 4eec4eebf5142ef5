"""Workspaces: the customers that share a fleet, with their API keys, urgency and request quota."""

from attrs import field, frozen


@frozen
class RequestQuota:
    """Requests per second that a workspace may send to the whole fleet, and its burst."""

    per_s: float
    burst: float


@frozen
class Workspace:
    """Customer of the fleet; priority 0 is the most urgent, and without a quota it has no limit."""

    name: str
    priority: int = 0
    quota: RequestQuota | None = None


@frozen
class WorkspaceTable:
    """Workspaces of a configuration by name and by the digest of each of their API keys."""

    by_name: dict[str, Workspace] = field(factory=dict)
    by_key: dict[bytes, Workspace] = field(factory=dict)

    @property
    def least_urgent(self) -> int:
        """Return the greatest priority of the workspaces, 0 without workspaces."""
        return max((workspace.priority for workspace in self.by_name.values()), default=0)


@frozen
class Credentials:
    """API key of a request, None without one; `problem` is why several keys name no workspace."""

    key: str | None = None
    problem: str = ""
