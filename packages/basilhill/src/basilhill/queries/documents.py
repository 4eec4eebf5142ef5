"""Parse sections, check them and look things up in the document."""

import tomllib
from collections.abc import Iterable
from typing import Any

import cattrs
from attrs import field, frozen
from cattrs import transform_error
from expression import Error, Ok, Result

from basilhill.calls import PriorityClass
from basilhill.documents import (
    ActionPolicy,
    CallPolicy,
    Document,
    Problem,
    Section,
    SectionPolicy,
    ServicePolicy,
)


@frozen
class CallTable:
    """Mirror a call table of the TOML document."""

    method: str
    path: str
    idempotent: bool
    timeout_ms: int
    usual_ms: int = 20
    calls: tuple[str, ...] = ()


@frozen
class ServiceTable:
    """Mirror a service table of the TOML document."""

    slots: int
    connections: int
    call: dict[str, CallTable] = field(factory=dict)


@frozen
class ActionTable:
    """Mirror an action table of the TOML document."""

    entry: str
    class_: str
    timeout_ms: int
    retries: int = 0


@frozen
class TeamTable:
    """Mirror the table of one team."""

    contact: str = ""
    service: dict[str, ServiceTable] = field(factory=dict)
    action: dict[str, ActionTable] = field(factory=dict)


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, structure_exactly)
    rename = cattrs.gen.override(rename="class")
    hook = cattrs.gen.make_dict_structure_fn(ActionTable, converter, class_=rename)
    converter.register_structure_hook(ActionTable, hook)
    return converter


def structure_exactly(value: Any, kind: type) -> Any:
    """Return the value if it has exactly the type asked for."""
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}, found {type(value).__name__}")
    return value


CONVERTER = make_converter()


def parse_section(section: Section) -> Result[SectionPolicy, tuple[Problem, ...]]:
    """Return what a section says, or all its problems."""
    try:
        teams = tomllib.loads(section.text).get("team", {})
        table = CONVERTER.structure(teams.get(section.team, {}), TeamTable)
    except tomllib.TOMLDecodeError as error:
        return Error((Problem(section.team, "", 0, str(error)),))
    except cattrs.BaseValidationError as error:
        problems = (Problem(section.team, "", 0, text) for text in transform_error(error))
        return Error(tuple(problems))
    return Ok(section_policy(section.team, table))


def section_policy(team: str, table: TeamTable) -> SectionPolicy:
    """Return the policy of a team's table."""
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
    """Return the call policies of a service table."""
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


def build_document(sections: Iterable[SectionPolicy]) -> Document:
    """Index valid sections for look-up."""
    by_team = {section.team: section for section in sections}
    services = {name: s for section in by_team.values() for name, s in section.services.items()}
    calls = {call.full_name: call for s in services.values() for call in s.calls.values()}
    actions = {name: a for section in by_team.values() for name, a in section.actions.items()}
    by_entry = {action.entry: action for action in actions.values()}
    return Document(by_team, services, calls, actions, by_entry)


def split_sections(text: str, revision: int) -> tuple[Section, ...]:
    """Split a document into the sections of its teams, each as TOML text."""
    chunks: dict[str, list[str]] = {}
    team = ""
    for line in text.splitlines():
        header = line.strip()
        if header.startswith("[team."):
            team = header.removeprefix("[team.").split(".")[0].rstrip("]").strip()
        if team:
            chunks.setdefault(team, []).append(line)
    return tuple(Section(t, revision, "\n".join(lines) + "\n") for t, lines in chunks.items())


def find_call(document: Document, service: str, method: str, path: str) -> CallPolicy | None:
    """Return the policy of the call with the longest path prefix that matches."""
    policy = document.services.get(service)
    if policy is None:
        return None
    matches = [
        call
        for call in policy.calls.values()
        if call.method == method and (path == call.path or path.startswith(call.path + "/"))
    ]
    return max(matches, key=lambda call: len(call.path), default=None)


def called_services(document: Document, call: CallPolicy) -> frozenset[str]:
    """Return the services that a call reaches through its internal calls."""
    found: set[str] = set()
    pending = list(call.calls)
    while pending:
        inner = document.calls.get(pending.pop())
        if inner is not None and inner.service not in found:
            found.add(inner.service)
            pending.extend(inner.calls)
    return frozenset(found)
