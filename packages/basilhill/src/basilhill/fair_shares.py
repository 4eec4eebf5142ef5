"""Fair shares of the workspaces in the requests that an admission level admits."""

from collections import deque

from attrs import define, field

# Newest requests of a rank whose workspaces show what the others want.
SAMPLE_SIZE = 128


@define(eq=False)
class UtilisationSample:
    """Utilisations of the workspaces of the newest requests of one rank at one origin.

    `threshold` is the last solution for `solved_share`.
    """

    values: deque[float] = field(factory=lambda: deque(maxlen=SAMPLE_SIZE))
    threshold: float = 1.0
    solved_share: float = 1.0
    solved_ms: int = 0
