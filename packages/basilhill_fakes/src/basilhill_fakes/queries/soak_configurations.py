"""Checks of the versions by which the requests of a soak were handled."""

from collections import defaultdict
from collections.abc import Iterator

from attrs import define, frozen

from basilhill_fakes.queries.soak_calm import (
    CONTACT_BOUND_MS,
    RESTARTS,
    is_calm,
    is_in_touch,
    overlaps,
)
from basilhill_fakes.soak_records import Attempt, SoakHistory, Version

# Time bounds that the platform specifies: for activation of a configuration, for use of an older
# version after a newer one, and by which an unstable store stretches the first.
CONFIG_BOUND_MS = 2_000
REGRESSION_TOLERANCE_MS = 250
UNSTABLE_STORE_MS = 5_000
# Disruptions of a store that serves all VMs, at its usual speed, and loses no response.
STRETCHING_KINDS = ("store cut", "store forget")
NOT_FOUND = 404
OK = 200
# Requests for added routes from which on their share of served ones counts, and the share of that
# of the first routes which it must reach.
NEGLECT_REQUESTS = 20
NEGLECT_SHARE = 0.25


@frozen
class Handling:
    """How a request was handled: run by a service, or refused because no route was there."""

    attempt: Attempt
    service: str | None
    at_ms: int

    def fits(self, version: Version) -> bool:
        """Return whether a version allows this, and was accepted by then."""
        is_known = version.at_ms <= self.at_ms
        return is_known and version.services.get(prefix_of(self.attempt)) == self.service


@define
class Floor:
    """Oldest version that a node can have had at some times, as servers saw its requests.

    `steps` are the times and version numbers at which it rose.
    """

    steps: list[tuple[int, int]]

    def at(self, at_ms: int) -> int:
        """Return the version before a time, 0 if none is proved."""
        return max((number for seen_ms, number in self.steps if seen_ms < at_ms), default=0)

    def rise(self, at_ms: int, number: int) -> None:
        if not self.steps or number > self.steps[-1][1]:
            self.steps.append((at_ms, number))


def prefix_of(attempt: Attempt) -> str:
    return attempt.path.rpartition("/")[0] + "/"


def handlings(history: SoakHistory, attempts: dict[str, Attempt]) -> list[Handling]:
    """Return how requests were handled, in order of time."""
    runs = [
        Handling(attempts[run.attempt_id], run.service, run.started_ms)
        for run in history.runs
        if run.attempt_id in attempts
    ]
    refusals = [
        Handling(attempt, None, attempt.ended_ms)
        for attempt in history.attempts
        if attempt.status == NOT_FOUND
    ]
    return sorted(runs + refusals, key=lambda one: one.at_ms)


def required_version(history: SoakHistory, vm: int, at_ms: int) -> int:
    """Return the oldest version that a node may use for a request sent at a time.

    It is 0 if the node is not in touch. A store that is unstable in a way that still serves all VMs
    excuses a node for a limited time only.
    """
    if not is_calm(history, (vm,), at_ms - CONTACT_BOUND_MS, at_ms):
        return 0
    bound_ms = CONFIG_BOUND_MS
    if not is_in_touch(history, vm, at_ms):
        bound_ms += UNSTABLE_STORE_MS
    due = [version for version in history.versions if version.at_ms + bound_ms < at_ms]
    if not due:
        return 0
    if bound_ms > CONFIG_BOUND_MS and was_store_away(history, due[-1].at_ms, at_ms):
        return 0
    return due[-1].number


def was_store_away(history: SoakHistory, start_ms: int, end_ms: int) -> bool:
    """Return whether the store was down, slow or lost responses within a span."""
    return any(
        disruption.vm is None
        and disruption.kind.startswith("store ")
        and disruption.kind not in STRETCHING_KINDS
        and overlaps(disruption, start_ms - CONTACT_BOUND_MS, end_ms)
        for disruption in history.disruptions
    )


def late_configurations(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield requests handled as only an older version allows, sent later than the bound.

    Disruptions of the store and of the origin shortly before the request excuse it, those of other
    nodes do not.
    """
    for one in handlings(history, attempts):
        attempt = one.attempt
        required = required_version(history, attempt.vm, attempt.sent_ms)
        if not any(one.fits(v) for v in history.versions if v.number >= required):
            yield (
                f"CONFIG: {attempt} handled by {one.service} at {one.at_ms}, "
                f"version {required} is due"
            )


def version_regressions(history: SoakHistory, attempts: dict[str, Attempt]) -> Iterator[str]:
    """Yield requests handled by an older version than the origin must have had before.

    That is shown by what servers saw and by what was due, within one incarnation of the origin. No
    disruption excuses it.
    """
    floors: dict[tuple[int, int], Floor] = defaultdict(lambda: Floor([]))
    for one in handlings(history, attempts):
        attempt = one.attempt
        incarnation = incarnation_of(history, attempt.vm, attempt.sent_ms)
        if incarnation != incarnation_of(history, attempt.vm, one.at_ms):
            continue
        floor = floors[attempt.vm, incarnation]
        lowest = floor.at(attempt.sent_ms - REGRESSION_TOLERANCE_MS)
        numbers = [v.number for v in history.versions if v.number >= lowest and one.fits(v)]
        if lowest and not numbers:
            yield (
                f"CONFIG: node {attempt.vm} used a version before {lowest}, which a server saw or "
                f"which was due: {attempt} handled by {one.service} at {one.at_ms}"
            )
        elif numbers and one.service is not None:
            # A node in touch cannot have used a version before the required one.
            required = required_version(history, attempt.vm, attempt.sent_ms)
            number = min((n for n in numbers if n >= required), default=numbers[0])
            floor.rise(one.at_ms, number)


def incarnation_of(history: SoakHistory, vm: int, at_ms: int) -> int:
    """Return a number for the processes of a VM at a time, which changes with each restart."""
    return sum(
        (disruption.started_ms <= at_ms)
        + (disruption.ended_ms is not None and disruption.ended_ms <= at_ms)
        for disruption in history.disruptions
        if disruption.vm == vm and disruption.kind in RESTARTS
    )


def neglected_routes(history: SoakHistory) -> Iterator[str]:
    """Yield the nodes, and all nodes together, that serve added routes far less than the first."""
    # Requests and served requests by node (None for all) and by whether the route was added.
    sent: dict[tuple[int | None, bool], int] = defaultdict(int)
    served: dict[tuple[int | None, bool], int] = defaultdict(int)
    for attempt in history.attempts:
        if not attempt.ended_ms or not is_in_force(history, attempt):
            continue
        if is_calm(
            history, (None, attempt.vm), attempt.sent_ms - CONTACT_BOUND_MS, attempt.ended_ms
        ):
            is_added = prefix_of(attempt) not in history.versions[0].services
            for vm in (attempt.vm, None):
                sent[vm, is_added] += 1
                served[vm, is_added] += attempt.status == OK
    for vm, is_added in tuple(sent):
        if not is_added or sent[vm, True] < NEGLECT_REQUESTS or not sent[vm, False]:
            continue
        added, first = (served[vm, kind] / sent[vm, kind] for kind in (True, False))
        if added < NEGLECT_SHARE * first:
            yield (
                f"CONFIG: node {vm or 'all'} serves {added:.2f} of {sent[vm, True]} requests for "
                f"added routes, {first:.2f} of the first routes"
            )


def is_in_force(history: SoakHistory, attempt: Attempt) -> bool:
    """Return whether all versions that a node in touch can use for a request have its route."""
    due = [v for v in history.versions if v.at_ms + CONFIG_BOUND_MS < attempt.sent_ms]
    later = [v for v in history.versions[len(due) :] if v.at_ms <= attempt.ended_ms]
    return bool(due) and all(prefix_of(attempt) in v.services for v in (due[-1], *later))
