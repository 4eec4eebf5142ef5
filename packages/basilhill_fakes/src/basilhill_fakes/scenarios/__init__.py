"""Scenarios of measurements."""

from typing import Protocol

from basilhill_fakes.measurements import Measurement


class Scenario(Protocol):
    """Run a workload under some conditions and measure what becomes of it."""

    name: str

    async def run(self, measurement: Measurement) -> dict:
        """Run once, within a minute; return the fields to report."""
        ...
