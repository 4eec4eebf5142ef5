"""Operators who change sections, and a watch on what the nodes have in force."""

import asyncio

import aiohttp
import orjson
from attrs import define, field, frozen
from basilhill.queries.documents import split_sections

from basilhill_fakes.history import Event, EventKind, now_ms
from basilhill_fakes.measurements import Measurement
from basilhill_fakes.topology import Vm

WATCH_S = 0.1
INVALID_LINE = "slotz = 1"


@frozen
class Change:
    """Hold one published change of a section."""

    team: str
    revision: int
    published_ms: float
    valid: bool


@define
class Operators:
    """Change sections of one document; each change keeps what others wrote before."""

    measurement: Measurement
    texts: dict[str, str] = field(factory=dict)
    changes: list[Change] = field(factory=list)
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    @classmethod
    def of(cls, measurement: Measurement) -> "Operators":
        """Return operators of the document that a measurement starts with."""
        sections = split_sections(measurement.document, 1)
        return cls(measurement, {section.team: section.text for section in sections})

    async def change(self, team: str, mark: str, valid: bool = True) -> Change:
        """Publish a new contact of a team, or a section with an unknown key."""
        async with self.lock:
            self.texts[team] = changed_text(self.texts[team], team, mark, valid)
            published_ms = now_ms()
            text = "\n".join(self.texts.values())
            revision = await self.measurement.fleet.publish_document(text)
            change = Change(team, revision, published_ms, valid)
            self.changes.append(change)
            return change


def changed_text(text: str, team: str, mark: str, valid: bool) -> str:
    """Return a section with a new contact, and with an unknown key unless it shall be valid."""
    lines = [line for line in text.splitlines() if line != INVALID_LINE]
    number = next(i for i, line in enumerate(lines) if line.startswith("contact"))
    lines[number] = f'contact = "{team}-{mark}@example.test"'
    if not valid:
        lines.insert(number + 1, INVALID_LINE)
    return "\n".join(lines) + "\n"


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


def in_force_ms(events: list[Event], change: Change, nodes: int) -> float | None:
    """Return how long a change took to be in force on every node, None when it was not."""
    reached: dict[str, float] = {}
    for event in events:
        if event.kind is EventKind.SECTIONS and event.place not in reached:
            revision = orjson.loads(event.note).get(change.team, 0)
            if revision >= change.revision:
                reached[event.place] = event.time_ms
    return max(reached.values()) - change.published_ms if len(reached) == nodes else None


def wrongly_in_force(events: list[Event], changes: list[Change]) -> int:
    """Return how often a node had a refused version of a section in force."""
    refused = {(change.team, change.revision) for change in changes if not change.valid}
    return sum(
        (team, revision) in refused
        for event in events
        if event.kind is EventKind.SECTIONS
        for team, revision in orjson.loads(event.note).items()
    )
