"""Scenarios that measurements run."""

from typing import Protocol

from basilhill_fakes.measurements import Measurement


class Scenario(Protocol):
    """Workload under defined conditions, with the results to measure."""

    name: str

    async def run(self, measurement: Measurement) -> dict:
        """Run once within a minute; return the result fields."""
        ...
