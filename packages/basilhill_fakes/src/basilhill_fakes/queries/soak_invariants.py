"""Checks of the invariants in the history of a soak."""

from collections import defaultdict
from collections.abc import Iterator

from basilhill_fakes.queries.soak_calm import (
    CONTACT_BOUND_MS,
    is_calm,
    is_undisturbed,
    was_interrupted,
)
from basilhill_fakes.queries.soak_configurations import (
    late_configurations,
    neglected_routes,
    version_regressions,
)
from basilhill_fakes.queries.soak_workspaces import (
    exceeded_quotas,
    wrong_refusals,
    wrong_workspaces,
)
from basilhill_fakes.soak_records import Attempt, Run, SoakHistory

# Time bound that the platform specifies for the end of a drain.
DRAIN_BOUND_MS = 2_000
# HTTP statuses that guarantee that a request has not run and will not run.
NOT_RUN = (408, 421, 429, 503)


def find_soak_violations(history: SoakHistory) -> list[str]:
    """Return a line for each violated invariant."""
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.attempt_id].append(run)
    attempts = {attempt.attempt_id: attempt for attempt in history.attempts}
    return [
        *unrequested_runs(history, attempts),
        *double_runs(attempts, runs),
        *false_refusals(attempts, runs),
        *mismatched_responses(history, runs),
        *lost_responses(history, runs),
        *runs_after_drain(history),
        *arrivals_after_statement(history, attempts),
        *arrivals_after_leaving(history, attempts),
        *late_configurations(history, attempts),
        *version_regressions(history, attempts),
        *neglected_routes(history),
        *wrong_workspaces(history, attempts),
        *wrong_refusals(history),
        *exceeded_quotas(history, attempts),
        *missing_recovery(history),
    ]


def unrequested_runs(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield runs of requests that no client sent."""
    for run in history.runs:
        attempt = attempts.get(run.attempt_id)
        if attempt is None or (attempt.path, attempt.body) != (run.path, run.body):
            yield f"UNASKED: {run}"


def double_runs(attempts: dict[str, Attempt], runs: dict[str, list[Run]]) -> Iterator[str]:
    """Yield non-idempotent requests that ran more than once."""
    for attempt_id, found in runs.items():
        attempt = attempts.get(attempt_id)
        if attempt is not None and not attempt.idempotent and len(found) > 1:
            yield f"TWICE: {found}"


def false_refusals(attempts: dict[str, Attempt], runs: dict[str, list[Run]]) -> Iterator[str]:
    """Yield requests that ran although they were refused as not run."""
    for attempt in attempts.values():
        if attempt.status in NOT_RUN and not attempt.idempotent and runs.get(attempt.attempt_id):
            yield f"REFUSED: {attempt.status} for {runs[attempt.attempt_id]}"


def mismatched_responses(history: SoakHistory, runs: dict[str, list[Run]]) -> Iterator[str]:
    """Yield success responses that are incomplete or not from a server that ran the request."""
    for attempt in history.attempts:
        if attempt.status != 200:
            continue
        signatures = {f"{run.server_id}.{run.attempt_id}" for run in runs[attempt.attempt_id]}
        expected = f"{attempt.method} {attempt.path} ".encode() + attempt.body
        if attempt.signature not in signatures or attempt.answer != expected:
            yield f"MIXED: {attempt}"


def lost_responses(history: SoakHistory, runs: dict[str, list[Run]]) -> Iterator[str]:
    """Yield requests that ran but got no response although only planned work overlapped."""
    for attempt in history.attempts:
        # An attempt without an end belongs to a client that the soak stopped.
        if attempt.status or not attempt.ended_ms or not runs.get(attempt.attempt_id):
            continue
        if is_undisturbed(
            history, attempt.sent_ms - CONTACT_BOUND_MS, attempt.ended_ms, planned_counts=False
        ):
            yield f"LOST: {attempt}"


def runs_after_drain(history: SoakHistory) -> Iterator[str]:
    """Yield runs that a server started after the drain bound while no disruption overlapped."""
    for run in history.runs:
        at_ms = left_ms(history, run.server_id, run.started_ms, ("drain",))
        if at_ms is None or run.started_ms <= at_ms + DRAIN_BOUND_MS:
            continue
        if is_undisturbed(history, at_ms - CONTACT_BOUND_MS, run.started_ms):
            yield f"DRAIN: {run}, drained at {at_ms}"


def arrivals_after_statement(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield requests that a node sent to a server after it had passed on that the server leaves.

    This holds for each node that was neither restarted nor suspended since, until the server starts
    again. A statement of an earlier start may be passed on after the server has started again.
    """
    reached_ms = {(one.attempt_id, one.server_id): one.at_ms for one in history.arrivals}
    stating: defaultdict[tuple[int, str], list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        if attempt.leaving_server:
            stating[attempt.vm, attempt.leaving_server].append(attempt)
    for arrival in history.arrivals:
        attempt = attempts[arrival.attempt_id]
        for stated in stating[attempt.vm, arrival.server_id]:
            at_ms = stated.ended_ms
            key = stated.attempt_id, arrival.server_id
            if (
                attempt.sent_ms > at_ms + DRAIN_BOUND_MS
                and not was_interrupted(history, attempt.vm, at_ms, arrival.at_ms)
                and not has_restarted(
                    history, arrival.server_id, reached_ms.get(key, at_ms), arrival.at_ms
                )
            ):
                yield (
                    f"DRAIN: {arrival} from {attempt.vm}, which passed on the statement at {at_ms}"
                )
                break


def arrivals_after_leaving(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield requests that reached a server after the store accepted that it leaves.

    The store must have been calm when it accepted that, and the nodes on the path and the store
    for the time of reconnection before the client sent the request.
    """
    for arrival in history.arrivals:
        at_ms = left_ms(history, arrival.server_id, arrival.at_ms, ("drain", "removal"))
        if at_ms is None or arrival.at_ms <= at_ms + DRAIN_BOUND_MS:
            continue
        attempt = attempts[arrival.attempt_id]
        path = (None, attempt.vm, arrival.vm)
        if is_calm(history, (None,), at_ms - CONTACT_BOUND_MS, at_ms) and is_calm(
            history, path, attempt.sent_ms - CONTACT_BOUND_MS, arrival.at_ms
        ):
            yield f"DRAIN: {arrival} from {attempt.vm}, sent {attempt.sent_ms}, left at {at_ms}"


def left_ms(
    history: SoakHistory, server_id: str, until_ms: int, kinds: tuple[str, ...]
) -> int | None:
    """Return when the store accepted that a server leaves; None if it did not or has restarted."""
    accepted_ms = max(
        (
            change.at_ms
            for change in history.acknowledged_changes
            if change.name == server_id and change.kind in kinds and change.at_ms <= until_ms
        ),
        default=None,
    )
    if accepted_ms is None or has_restarted(history, server_id, accepted_ms, until_ms):
        return None
    return accepted_ms


def has_restarted(history: SoakHistory, server_id: str, start_ms: int, end_ms: int) -> bool:
    """Return whether a server started again under its id within a span."""
    return any(
        restart.server_id == server_id and start_ms <= restart.at_ms <= end_ms
        for restart in history.restarts
    )


def missing_recovery(history: SoakHistory) -> Iterator[str]:
    """Yield a line if the nodes did not all serve all routes again within the recovery bound."""
    if history.recovered_ms is None:
        yield "RECOVER: not all routes were served on all nodes after the last fault"
