"""Check a configuration for entries without effect and for values that contradict each other."""

from collections import Counter
from collections.abc import Iterator

from attrs import frozen

from basilhill.configuration import Configuration, RequestLimits, Route
from basilhill.documents import Severity
from basilhill.workspaces import Workspace


@frozen
class Finding:
    """Finding about one entry of a configuration, such as a route."""

    entry: str
    text: str
    severity: Severity = Severity.WARNING


def configuration_findings(configuration: Configuration) -> list[Finding]:
    """Return all findings; a finding of severity error makes requests fail."""
    return [
        *host_findings(configuration),
        *(
            finding
            for routes in configuration.routes.values()
            for route in routes
            for finding in route_findings(route)
        ),
        *limit_findings(configuration.limits),
        *workspace_findings(configuration),
    ]


def host_findings(configuration: Configuration) -> Iterator[Finding]:
    """Yield the routes that no request can match, and names that stand for several routes."""
    for host, routes in configuration.routes.items():
        if host.rpartition(":")[2].isdigit():
            yield Finding(f"host {host}", "never matches, since requests are compared without port")
        first: dict[str, Route] = {}
        for route in routes:
            before = first.setdefault(route.prefix, route)
            if before is not route:
                text = f"never matches, since {before.name} has the same prefix {route.prefix}"
                yield Finding(f"route {route.name}", text)
    names = Counter(route.name for routes in configuration.routes.values() for route in routes)
    for name, count in names.items():
        if count > 1:
            yield Finding(f"route {name}", f"{count} routes have this name in logs and metrics")


def route_findings(route: Route) -> Iterator[Finding]:
    """Yield the contradictions within one route."""
    entry = f"route {route.name}"
    if not route.prefix.startswith("/"):
        yield Finding(entry, f"never matches, since {route.prefix} does not begin with a slash")
    elif not route.prefix.endswith("/"):
        yield Finding(entry, f"prefix {route.prefix} also matches {route.prefix}b")
    if route.attempts < 1:
        yield Finding(entry, "attempts is 0, so that no server is tried", Severity.ERROR)
    if route.timeout_ms < 1:
        yield Finding(entry, "the timeout is 0, so that every request ends", Severity.ERROR)
    elif route.timeout_ms < route.target_ms:
        text = f"the timeout of {route.timeout_ms} ms ends requests before the target latency"
        yield Finding(entry, f"{text} of {route.target_ms} ms")
    services = Counter(part.service for part in route.services)
    for service, count in services.items():
        if count > 1:
            yield Finding(entry, f"service {service} is listed {count} times")


def limit_findings(limits: RequestLimits) -> Iterator[Finding]:
    """Yield the limits that no client can keep, or that contradict each other."""
    for name, value in (
        ("header size", limits.header_bytes),
        ("body size", limits.body_bytes),
        ("header time", limits.header_ms),
        ("idle time", limits.idle_ms),
    ):
        if value < 1:
            yield Finding("limits", f"the {name} is 0, which no client keeps", Severity.ERROR)
    if 0 < limits.idle_ms < limits.header_ms:
        text = f"the idle time of {limits.idle_ms} ms ends before the header time"
        yield Finding("limits", f"{text} of {limits.header_ms} ms")


def workspace_findings(configuration: Configuration) -> Iterator[Finding]:
    """Yield the workspaces that cannot send requests, or whose quota admits none."""
    table = configuration.workspaces
    if table is None:
        return
    holders = {workspace.name for workspace in table.by_key.values()}
    routes = [route for routes in configuration.routes.values() for route in routes]
    if routes and all(route.public for route in routes):
        yield Finding("workspaces", "no route asks for a key, since all are public")
    for workspace in table.by_name.values():
        entry = f"workspace {workspace.name}"
        if workspace.name not in holders:
            yield Finding(entry, "has no key, so that no request can name it")
        yield from quota_findings(entry, workspace)


def quota_findings(entry: str, workspace: Workspace) -> Iterator[Finding]:
    quota = workspace.quota
    if quota is None:
        return
    if quota.burst < 1:
        yield Finding(entry, f"its burst of {quota.burst:g} is below one request")
    if quota.per_s < 1:
        yield Finding(entry, f"its quota is one request in {1 / quota.per_s:.0f} s")
