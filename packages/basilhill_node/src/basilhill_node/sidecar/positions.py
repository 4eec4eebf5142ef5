"""Positions in the history of the store, which can come back from an older copy of itself.

A store that came back from a copy gives out revisions again that it had given to other changes, and
begins a new era. Positions are therefore ordered by era first, then by revision.
"""

from attrs import frozen


@frozen(order=True)
class StorePosition:
    """Revision in one era of the store."""

    era: int = 0
    revision: int = 0

    def begins_era(self, known: "StorePosition") -> bool:
        """Return whether the store came back from a copy after a known position."""
        return known.revision > 0 and self.era > known.era

    def next(self) -> "StorePosition":
        """Return the next position of the same era."""
        return StorePosition(self.era, self.revision + 1)

    def __str__(self) -> str:
        return f"revision {self.revision} of era {self.era}"


@frozen
class StatedEra:
    """Era that a response of the store states, None without a valid one, and what is wrong."""

    number: int | None = None
    problem: str = ""

    def position(self, revision: int, known: StorePosition) -> StorePosition:
        """Return the position of the response; it is in the known era if it states none."""
        return StorePosition(known.era if self.number is None else self.number, revision)
