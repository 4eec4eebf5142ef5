"""Parse the sections of teams and locate their faults."""

import re
import tomllib
from collections.abc import Iterator
from itertools import islice
from typing import Any

import cattrs
from attrs import field, frozen
from cattrs import AttributeValidationNote, IterableValidationNote
from cattrs.errors import ForbiddenExtraKeysError
from expression import Error, Ok, Result

from basilhill.calls import PriorityClass
from basilhill.documents import (
    ActionPolicy,
    CallPolicy,
    LineOrigin,
    Problem,
    Section,
    SectionPolicy,
    ServicePolicy,
)
from basilhill.queries.checking import Fault, correction_of, unknown_key_correction, value_faults
from basilhill.queries.document_lines import KeyPath, key_lines, line_of, statements

TYPE_NAMES = {
    bool: "true or false",
    dict: "a table",
    float: "a float",
    int: "a whole number",
    list: "a list",
    str: "a string",
}
QUOTED_LENGTH_LIMIT = 60
# Limits the problems reported for a text that is not TOML, in which each line may be a fault.
BROKEN_STATEMENTS_LIMIT = 100
SYNTAX_LINE_PATTERN = re.compile(r" \(at line (\d+), column \d+\)| \(at end of document\)")


@frozen
class CallTable:
    """Call table of the TOML document."""

    method: str
    path: str
    idempotent: bool
    timeout_ms: int
    usual_ms: int = 20
    calls: tuple[str, ...] = ()


@frozen
class ServiceTable:
    """Service table of the TOML document."""

    slots: int
    connections: int
    call: dict[str, CallTable] = field(factory=dict)


@frozen
class ActionTable:
    """Action table of the TOML document."""

    entry: str
    class_: str
    timeout_ms: int
    retries: int = 0


@frozen
class TeamTable:
    """Table of one team in the TOML document."""

    contact: str = ""
    service: dict[str, ServiceTable] = field(factory=dict)
    action: dict[str, ActionTable] = field(factory=dict)


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, structure_exactly)
    converter.register_structure_hook_func(lambda kind: kind == tuple[str, ...], structure_names)
    rename = cattrs.gen.override(rename="class")
    hook = cattrs.gen.make_dict_structure_fn(ActionTable, converter, class_=rename)
    converter.register_structure_hook(ActionTable, hook)
    return converter


def type_name(kind: type) -> str:
    """Return the name of a type for error messages about the TOML document."""
    return TYPE_NAMES.get(kind, kind.__name__)


def structure_exactly(value: Any, kind: type) -> Any:
    """Return the value if it has exactly the requested type, else raise a ValueError."""
    if type(value) is not kind:
        raise ValueError(f"expected {type_name(kind)}, found {type_name(type(value))}")
    return value


def structure_names(value: Any, _kind: type) -> tuple[str, ...]:
    """Return a list of names as a tuple; raise a ValueError for other values."""
    if type(value) is not list or not all(type(item) is str for item in value):
        raise ValueError("expected a list of names in quotes")
    return tuple(value)


CONVERTER = make_converter()


def parse_section(section: Section) -> Result[SectionPolicy, tuple[Problem, ...]]:
    """Return the policy of a section, or all its problems."""
    if not section.team:
        return Error(tuple(unplaced_problems(section)))
    try:
        teams = tomllib.loads(section.text).get("team", {})
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return Error(syntax_problems(section, str(error)))
    given = teams.get(section.team, {}) if isinstance(teams, dict) else teams
    faults = list(value_faults(given))
    try:
        table = CONVERTER.structure(given, TeamTable)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        faults = [*structure_faults(error, (), given), *faults]
    if faults:
        return Error(locate_faults(section, faults))
    return Ok(section_policy(section.team, table))


def unplaced_problems(section: Section) -> Iterator[Problem]:
    """Yield a problem for each run of lines that belongs to no team."""
    correction = "write it below [team.NAME], or as [team.NAME.service.…]"
    lines = section.text.split("\n")
    for origin in section.origins or (LineOrigin(1, 0),):
        text = f"{lines[origin.section_line - 1].strip()[:60]!r} belongs to no team's section"
        yield Problem("", "", origin.document_line, text, correction)


def syntax_problems(section: Section, text: str) -> tuple[Problem, ...]:
    """Return the problems of a section that is not valid TOML, one for each broken statement."""
    broken = list(islice(broken_statements(section.text), BROKEN_STATEMENTS_LIMIT))
    if not broken:
        # Each statement is valid TOML, but the whole section is not, as with a duplicate key.
        found = SYNTAX_LINE_PATTERN.search(text)
        line = int(found.group(1) if found and found.group(1) else 1)
        broken = [(line, section.text.split("\n")[line - 1], text)]
    correction = "correct the TOML; a value ends at the latest before the next [team.…] header"
    return tuple(
        Problem(
            section.team,
            "",
            document_line(section, line),
            f"{SYNTAX_LINE_PATTERN.sub('', reason)} in {quoted.strip()[:QUOTED_LENGTH_LIMIT]!r}",
            correction,
        )
        for line, quoted, reason in broken
    )


def broken_statements(text: str) -> Iterator[tuple[int, str, str]]:
    """Yield the first line's number and text and the error of each invalid TOML statement."""
    for statement in statements(text):
        try:
            tomllib.loads(statement.text)
        except (tomllib.TOMLDecodeError, RecursionError) as error:
            yield statement.first, statement.text.split("\n")[0], str(error)


def document_line(section: Section, line: int) -> int:
    """Return the line of the document for a line of a section, 0 if it is unknown.

    A section from a peer has no origins. Its own line numbers would be misleading, because it
    contains neither comments nor the sections of other teams.
    """
    document = 0
    for origin in section.origins:
        if origin.section_line <= line:
            document = origin.document_line + line - origin.section_line
    return document


def locate_faults(section: Section, faults: list[Fault]) -> tuple[Problem, ...]:
    """Return faults as problems with their line numbers, ordered by line."""
    lines = key_lines(section.text)
    placed = [(line_of(lines, ("team", section.team, *fault.path)), fault) for fault in faults]
    placed.sort(key=lambda pair: pair[0])
    return tuple(
        Problem(
            section.team,
            ".".join(fault.path),
            document_line(section, line),
            fault.text,
            fault.correction,
            fault.severity,
        )
        for line, fault in placed
    )


def structure_faults(error: BaseException, path: KeyPath, given: Any) -> Iterator[Fault]:
    """Yield a fault for each key that is unknown or missing or has a value of the wrong type."""
    if isinstance(error, ForbiddenExtraKeysError):
        known = [attribute.name.removesuffix("_") for attribute in error.cl.__attrs_attrs__]
        for key in sorted(error.extra_fields):
            yield Fault((*path, key), "unknown key", unknown_key_correction(key, known))
    elif isinstance(error, cattrs.BaseValidationError):
        for inner in error.exceptions:
            yield from structure_faults(inner, path + error_path(inner), given)
    elif isinstance(error, KeyError):
        yield Fault(path, "the key is missing", f"add {path[-1]}")
    else:
        value = value_at(given, path)
        yield Fault(path, type_text(error, value), correction_of(path, value))


def error_path(error: BaseException) -> KeyPath:
    """Return the part of the key path that cattrs stores in the notes of an error."""
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return (note.name.removesuffix("_"),)
        if isinstance(note, IterableValidationNote):
            return (str(note.index),)
    return ()


def type_text(error: BaseException, value: Any) -> str:
    """Return the message for a value of the wrong type."""
    if isinstance(error, ValueError):
        return str(error)
    return f"expected a table, found {type_name(type(value))}"


def value_at(given: Any, path: KeyPath) -> Any:
    """Return the value at a path of nested tables, None if there is none."""
    for key in path:
        given = given.get(key) if isinstance(given, dict) else None
    return given


def section_policy(team: str, table: TeamTable) -> SectionPolicy:
    services = {
        name: ServicePolicy(
            name, team, service.slots, service.connections, call_policies(name, service)
        )
        for name, service in table.service.items()
    }
    actions = {
        name: ActionPolicy(
            name,
            team,
            action.entry,
            PriorityClass[action.class_.upper()],
            action.timeout_ms,
            action.retries,
        )
        for name, action in table.action.items()
    }
    return SectionPolicy(team, table.contact, services, actions)


def call_policies(service: str, table: ServiceTable) -> dict[str, CallPolicy]:
    return {
        name: CallPolicy(
            service,
            name,
            call.method,
            call.path,
            call.idempotent,
            call.timeout_ms,
            call.usual_ms,
            call.calls,
        )
        for name, call in table.call.items()
    }
