"""Fixtures of the tests on simulated time."""

import asyncio
from collections.abc import Iterator

import pytest
from basilhill_fakes.simulated_loop import SimulatedLoop


@pytest.fixture
def loop() -> Iterator[SimulatedLoop]:
    """Yield an event loop with simulated time, and end all tasks that are left."""
    running = SimulatedLoop()
    asyncio.set_event_loop(running)
    yield running
    tasks = asyncio.all_tasks(running)
    for task in tasks:
        task.cancel()
    running.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    asyncio.set_event_loop(None)
    running.close()
