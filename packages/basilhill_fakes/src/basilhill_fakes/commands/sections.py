"""Change sections, and record what the nodes have in force."""

import asyncio

import aiohttp
import orjson

from basilhill_fakes.history import EventKind, now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.processes import Fleet
from basilhill_fakes.queries.sections import changed_text
from basilhill_fakes.sections import Change, Operators
from basilhill_fakes.topology import Vm

WATCH_S = 0.1


async def change_section(
    operators: Operators, fleet: Fleet, team: str, mark: str, valid: bool = True
) -> None:
    """Publish a changed section of a team; what other teams wrote before stays."""
    async with operators.lock:
        operators.texts[team] = changed_text(operators.texts[team], team, mark, valid)
        published_ms = now_ms()
        revision = await fleet.publish_document("\n".join(operators.texts.values()))
        operators.changes.append(Change(team, revision, published_ms, valid))


async def watch_sections(measurement: Measurement) -> None:
    """Record the versions that each node has in force, whenever they change, until cancelled."""
    vms = measurement.fleet.topology.vms
    seen: dict[str, str] = {}
    while True:
        await asyncio.gather(*(record_sections(measurement, vm, seen) for vm in vms))
        await asyncio.sleep(WATCH_S)


async def record_sections(measurement: Measurement, vm: Vm, seen: dict[str, str]) -> None:
    """Record the versions of one node if they changed; a node that is away has none."""
    try:
        async with asyncio.timeout(1):
            status = await measurement.fleet.get(f"{vm.administration_url}/status")
    except (aiohttp.ClientError, OSError, TimeoutError):
        return
    text = orjson.dumps(status["sections"], option=orjson.OPT_SORT_KEYS).decode()
    if seen.get(vm.address) != text:
        seen[vm.address] = text
        measurement.note(EventKind.SECTIONS, vm.address, text)
