"""Keep the utilisations of the workspaces that send requests."""

from basilhill.fair_shares import UtilisationSample
from basilhill.queries.fair_shares import AdmissionChance, admission_chance, solve_threshold

# A sample of fewer requests says little about the others.
LEAST_SAMPLE = 16
# Time for which a solution is used. Levels are adjusted every 100 ms.
SOLVED_MS = 100


def record_utilisation(sample: UtilisationSample, utilisation: float) -> None:
    sample.values.append(utilisation)


def fair_chance(
    sample: UtilisationSample, utilisation: float, share: float, now_ms: int
) -> AdmissionChance:
    """Return the chance of a request while a share of the requests of its rank is admitted."""
    if not 0.0 < share < 1.0 or len(sample.values) < LEAST_SAMPLE:
        return AdmissionChance(share, share)
    if share != sample.solved_share or now_ms - sample.solved_ms > SOLVED_MS:
        sample.threshold = solve_threshold(sample.values, share)
        sample.solved_share, sample.solved_ms = share, now_ms
    return admission_chance(sample.threshold, utilisation)
