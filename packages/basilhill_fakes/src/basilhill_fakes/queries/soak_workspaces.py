"""Checks of API keys and quotas in the history of a soak."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from basilhill.queries.credits import MS_PER_S

from basilhill_fakes.queries.soak_calm import CONTACT_BOUND_MS, is_calm
from basilhill_fakes.simulated_fleet import QUOTA_BOUNDS
from basilhill_fakes.soak_records import Attempt, SoakHistory, Version

# Time within which a version is in force at nodes in touch.
APPLY_BOUND_MS = 2_500
# An unstable store stretches the bound by this.
UNSTABLE_STORE_MS = 5_000
UNAUTHENTICATED = 401


def wrong_workspaces(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield runs with a key that no version held, with another workspace, or that saw the key."""
    if not any(version.keys for version in history.versions):
        return
    for run in history.runs:
        attempt = attempts.get(run.attempt_id)
        if attempt is None:
            continue
        possible = versions_in_force(history, attempt, run.started_ms)
        holders = {version.keys.get(attempt.key) for version in possible}
        if not any(attempt.key in version.keys for version in history.versions):
            yield f"ROUTE: {run} with the unknown key {attempt.key!r}"
        elif run.workspace not in holders:
            yield f"CONFIG: {run} for {run.workspace!r}, its key is that of {holders}"
        if attempt.key and attempt.key in run.headers:
            yield f"UNASKED: {run} saw the key"


def wrong_refusals(history: SoakHistory) -> Iterator[str]:
    """Yield 401 for keys that each version held that could be in force."""
    for attempt in history.attempts:
        if attempt.status != UNAUTHENTICATED or not attempt.key:
            continue
        possible = versions_in_force(history, attempt, attempt.ended_ms)
        if possible and all(attempt.key in version.keys for version in possible):
            yield f"CONFIG: {attempt} though its key is valid"


def versions_in_force(history: SoakHistory, attempt: Attempt, at_ms: int) -> list[Version]:
    """Return the versions by which a node may have handled a request."""
    calm = is_calm(
        history, (None, attempt.vm), attempt.sent_ms - APPLY_BOUND_MS - CONTACT_BOUND_MS, at_ms
    )
    oldest_ms = attempt.sent_ms - APPLY_BOUND_MS if calm else 0
    known = [version for version in history.versions if version.at_ms <= at_ms]
    older = [version for version in known if version.at_ms <= oldest_ms]
    return known[max(0, len(older) - 1) :]


def exceeded_quotas(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield the windows in which a workspace ran more requests than its quota allows.

    A lower limit binds the windows that begin after it is in force at all nodes.
    """
    runs_ms: dict[str, dict[str, int]] = defaultdict(dict)
    for run in history.runs:
        if run.workspace:
            runs_ms[run.workspace].setdefault(run.attempt_id, run.started_ms)
    for workspace, first_ms in runs_ms.items():
        times_ms = sorted(first_ms.values())
        for number, start_ms in enumerate(times_ms):
            end_ms = start_ms + QUOTA_BOUNDS.window_ms
            count = bisect_right(times_ms, end_ms) - number
            allowed = allowed_requests(history, workspace, start_ms, end_ms)
            if allowed is not None and count > allowed:
                yield f"QUOTA: {workspace} ran {count} of {allowed:.0f} from {start_ms}"
                break


def allowed_requests(
    history: SoakHistory, workspace: str, start_ms: int, end_ms: int
) -> float | None:
    """Return the requests that a workspace may run in a window, None without a limit."""
    oldest_ms = start_ms - APPLY_BOUND_MS - CONTACT_BOUND_MS - UNSTABLE_STORE_MS
    known = [version for version in history.versions if version.at_ms <= end_ms]
    older = [version for version in known if version.at_ms <= oldest_ms]
    limits = []
    for version in known[max(0, len(older) - 1) :]:
        if workspace not in version.quotas:
            return None
        per_s, burst = version.quotas[workspace]
        limits.append(per_s * QUOTA_BOUNDS.window_ms / MS_PER_S + burst)
    return max(limits, default=0) * (1 + QUOTA_BOUNDS.overage) + QUOTA_BOUNDS.slack
