"""Periodic work of a node that continues after errors."""

import asyncio
from collections.abc import Callable

from basilhill_node.sidecar.event_log import EventLog


async def repeat(interval_s: float, step: Callable[[], None], log: EventLog) -> None:
    """Run a step every `interval_s` until cancelled; log an error and continue."""
    while True:
        await asyncio.sleep(interval_s)
        try:
            step()
        except Exception as error:
            log.record("node", "periodic work failed", step=step.__name__, problem=repr(error))
