"""Edited sections, and the times at which nodes activate them."""

import orjson

from basilhill_fakes.history import Event, EventKind
from basilhill_fakes.sections import Change

INVALID_LINE = "slotz = 1"


def edit_section(text: str, team: str, mark: str, valid: bool) -> str:
    """Return a section with a new contact; an invalid one also gets an unknown key."""
    lines = [line for line in text.splitlines() if line != INVALID_LINE]
    number = next(i for i, line in enumerate(lines) if line.startswith("contact"))
    lines[number] = f'contact = "{team}-{mark}@example.test"'
    if not valid:
        lines.insert(number + 1, INVALID_LINE)
    return "\n".join(lines) + "\n"


def activation_ms(events: list[Event], change: Change, nodes: int) -> float | None:
    """Return the time until a change was active on all nodes, None if it never was."""
    reached: dict[str, float] = {}
    for event in events:
        if event.kind is EventKind.SECTIONS and event.place not in reached:
            revision = orjson.loads(event.note).get(change.team, 0)
            if revision >= change.revision:
                reached[event.place] = event.time_ms
    return max(reached.values()) - change.published_ms if len(reached) == nodes else None


def count_invalid_active(events: list[Event], changes: list[Change]) -> int:
    """Return how often a node reported an invalid version of a section as active."""
    invalid = {(change.team, change.revision) for change in changes if not change.valid}
    return sum(
        (team, revision) in invalid
        for event in events
        if event.kind is EventKind.SECTIONS
        for team, revision in orjson.loads(event.note).items()
    )
