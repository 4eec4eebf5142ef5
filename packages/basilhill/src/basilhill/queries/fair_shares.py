"""Divide what a level admits between the workspaces that want it.

Pattern of load: servers have room for a part of the requests, and some workspaces use much more of
their quota than the others, also many small ones beside a few large ones.
"""

from collections.abc import Collection

from attrs import frozen


@frozen
class AdmissionChance:
    """Probability that a request is admitted, and the admitted share of the demand in the quota.

    They differ for a workspace whose demand exceeds its quota.
    """

    chance: float
    share: float


def solve_threshold(utilisations: Collection[float], share: float) -> float:
    """Return the part of its quota that each workspace gets, so that a share of all is admitted.

    Workspaces that want less than the threshold get all; the others get the threshold (max-min
    fairness, weighted by the quotas). Demand beyond a quota wants nothing, since it cannot run.
    """
    wanted = sorted((min(1.0, one), min(1.0, 1.0 / one)) for one in utilisations)
    room = share * sum(weight for _, weight in wanted)
    # Weight per unit of the threshold of the workspaces that are limited by it.
    slope = sum(weight / used for used, weight in wanted)
    for used, weight in wanted:
        if used * slope >= room:
            break
        room -= weight
        slope -= weight / used
    else:
        return 1.0
    return room / slope


def admission_chance(threshold: float, utilisation: float) -> AdmissionChance:
    """Return the chance of a request of a workspace with a utilisation."""
    return AdmissionChance(
        min(1.0, threshold / utilisation), min(1.0, threshold / min(1.0, utilisation))
    )
