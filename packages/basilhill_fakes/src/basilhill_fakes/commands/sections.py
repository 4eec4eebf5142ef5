"""Publish changed sections, and record the active versions of the nodes."""

import asyncio

import aiohttp
import orjson

from basilhill_fakes.history import EventKind, now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.processes import Fleet
from basilhill_fakes.queries.sections import edit_section
from basilhill_fakes.sections import Change, PublishedSections
from basilhill_fakes.topology import Vm

POLL_INTERVAL_S = 0.1


async def change_section(
    published: PublishedSections, fleet: Fleet, team: str, mark: str, valid: bool = True
) -> None:
    """Publish a changed section of a team and keep the sections of all other teams."""
    async with published.lock:
        published.texts[team] = edit_section(published.texts[team], team, mark, valid)
        published_ms = now_ms()
        revision = await fleet.publish_document("\n".join(published.texts.values()))
        published.changes.append(Change(team, revision, published_ms, valid))


async def watch_sections(measurement: Measurement) -> None:
    """Record each change of the active versions of the nodes until cancelled."""
    vms = measurement.fleet.topology.vms
    recorded: dict[str, str] = {}
    while True:
        await asyncio.gather(*(record_sections(measurement, vm, recorded) for vm in vms))
        await asyncio.sleep(POLL_INTERVAL_S)


async def record_sections(measurement: Measurement, vm: Vm, recorded: dict[str, str]) -> None:
    """Record the active versions of a node if they changed; skip an unreachable node."""
    try:
        async with asyncio.timeout(1):
            status = await measurement.fleet.get(f"{vm.administration_url}/status")
    except (aiohttp.ClientError, OSError, TimeoutError):
        return
    text = orjson.dumps(status["sections"], option=orjson.OPT_SORT_KEYS).decode()
    if recorded.get(vm.address) != text:
        recorded[vm.address] = text
        measurement.record_event(EventKind.SECTIONS, vm.address, text)
