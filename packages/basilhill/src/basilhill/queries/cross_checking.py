"""Check sections against each other."""

import tomllib
from collections.abc import Iterable, Iterator

from attrs import field, frozen

from basilhill.documents import (
    CallPolicy,
    Document,
    Problem,
    Section,
    SectionPolicy,
    ServicePolicy,
    Severity,
)
from basilhill.queries.checking import Fault, iter_tables
from basilhill.queries.document_lines import KeyPath
from basilhill.queries.documents import build_document, parse_section, split_sections
from basilhill.queries.parsing import locate_faults, value_at


@frozen
class CheckedDocument:
    """Result of a document check: the valid sections and all problems."""

    policies: tuple[SectionPolicy, ...]
    problems: tuple[Problem, ...]

    @property
    def refused(self) -> bool:
        """Return whether any section would be refused."""
        return any(problem.severity is Severity.ERROR for problem in self.problems)


@frozen
class CrossFault:
    """Fault between sections of several teams, with the key involved in each team's section."""

    team: str
    fault: Fault
    keys: dict[str, KeyPath] = field(factory=dict)


def check_document(text: str) -> CheckedDocument:
    """Check a whole document."""
    sections = split_sections(text, 0)
    parsed = [parse_section(section) for section in sections]
    policies = tuple(result.ok for result in parsed if result.is_ok())
    problems = [problem for result in parsed if result.is_error() for problem in result.error]
    # References to calls of refused sections are not reported as unknown.
    refused = [s for s, result in zip(sections, parsed, strict=True) if result.is_error()]
    problems += cross_problems(policies, sections, named_calls(refused))
    return CheckedDocument(policies, tuple(sorted(problems, key=lambda problem: problem.line)))


def named_calls(refused: Iterable[Section]) -> frozenset[str] | None:
    """Return the names of the calls of refused sections, None if they cannot be read."""
    names: set[str] = set()
    for section in refused:
        try:
            teams = tomllib.loads(section.text)
        except (tomllib.TOMLDecodeError, RecursionError):
            return None
        for service, table in iter_tables(value_at(teams, ("team", section.team)), "service"):
            names.update(f"{service}.{call}" for call, _ in iter_tables(table, "call"))
    return frozenset(names)


def cross_problems(
    policies: Iterable[SectionPolicy],
    sections: Iterable[Section],
    named: frozenset[str] | None = frozenset(),
) -> tuple[Problem, ...]:
    """Return the problems between valid sections.

    The calls in `named` are known though their sections are not given. With None, no call is
    reported as unknown.
    """
    policies = tuple(policies)
    document = build_document(policies)
    by_team = {section.team: section for section in sections}
    faults: dict[str, list[Fault]] = {}
    for found in (
        *owner_faults(policies),
        *reference_faults(document, named),
        *action_faults(policies, document, named),
        *rule_faults(policies, document),
    ):
        faults.setdefault(found.team, []).append(found.fault)
    return tuple(
        problem
        for team, found in faults.items()
        for problem in locate_faults(by_team.get(team, Section(team, 0, "")), found)
    )


def rule_faults(policies: tuple[SectionPolicy, ...], document: Document) -> Iterator[CrossFault]:
    """Yield the violated rules between calls and actions that exist."""
    yield from internal_call_faults(document)
    yield from entry_faults(policies)
    yield from cycle_faults(document)


def owner_faults(policies: tuple[SectionPolicy, ...]) -> Iterator[CrossFault]:
    """Yield the services and actions that another team already owns."""
    owners: dict[tuple[str, str], str] = {}
    for policy in policies:
        names = [("service", name) for name in policy.services]
        names += [("action", name) for name in policy.actions]
        for path in names:
            owner = owners.setdefault(path, policy.team)
            if owner != policy.team:
                text = f"team {owner} owns the {path[0]} {path[1]} already"
                fault = Fault(path, text, "rename it, or remove it from one section")
                yield CrossFault(policy.team, fault)


def call_path(call: CallPolicy) -> tuple[str, ...]:
    """Return the key path of the list of internal calls of a call."""
    return ("service", call.service, "call", call.name, "calls")


def each_call(document: Document) -> Iterator[tuple[ServicePolicy, CallPolicy]]:
    for service in document.services.values():
        for call in service.calls.values():
            yield service, call


def reference_faults(document: Document, named: frozenset[str] | None) -> Iterator[CrossFault]:
    """Yield the references to internal calls that do not exist."""
    for service, call in each_call(document):
        for name in call.calls:
            if named is not None and name not in document.calls and name not in named:
                fault = Fault(call_path(call), *unknown_call(document, name))
                yield CrossFault(service.team, fault)


def internal_call_faults(document: Document) -> Iterator[CrossFault]:
    """Yield the internal calls that conflict with the policy of the outer call."""
    for service, call in each_call(document):
        path = call_path(call)
        for name in call.calls:
            inner = document.calls.get(name)
            if inner is None:
                continue
            if call.idempotent and not inner.idempotent:
                text = f"the idempotent call {call.full_name} makes the non-idempotent call {name}"
                correction = (
                    f"set idempotent = false for {call.full_name}, because a repeat of it would "
                    f"run {name} again"
                )
                keys = {
                    document.services[inner.service].team: (*call_path(inner)[:-1], "idempotent"),
                    service.team: path,
                }
                yield CrossFault(service.team, Fault(path, text, correction), keys)
            if inner.timeout_ms > call.timeout_ms:
                text = (
                    f"{name} has timeout_ms = {inner.timeout_ms}, longer than {call.timeout_ms} "
                    f"of {call.full_name}"
                )
                correction = "the shorter timeout applies; lower the inner or raise the outer one"
                fault = Fault(path, text, correction, Severity.WARNING)
                yield CrossFault(service.team, fault)


def unknown_call(document: Document, name: str) -> tuple[str, str]:
    """Return the text and the correction for a call that does not exist."""
    service = name.split(".")[0]
    if service not in document.services:
        known = ", ".join(sorted(document.services)[:10])
        return f"unknown service {service}", f"services: {known}"
    known = ", ".join(sorted(document.services[service].calls)) or "none"
    return f"unknown call {name}", f"calls of {service}: {known}"


def action_faults(
    policies: tuple[SectionPolicy, ...], document: Document, named: frozenset[str] | None
) -> Iterator[CrossFault]:
    """Yield the actions whose entry does not exist."""
    for policy in policies:
        for action in policy.actions.values():
            known = named is None or action.entry in document.calls or action.entry in named
            if not known:
                path = ("action", action.name, "entry")
                yield CrossFault(policy.team, Fault(path, *unknown_call(document, action.entry)))


def entry_faults(policies: tuple[SectionPolicy, ...]) -> Iterator[CrossFault]:
    """Yield the actions whose entry is also the entry of another action."""
    owners: dict[str, tuple[str, str]] = {}
    for policy in policies:
        for action in policy.actions.values():
            team, owner = owners.setdefault(action.entry, (policy.team, action.name))
            if owner != action.name:
                path = ("action", action.name, "entry")
                text = f"the actions {owner} and {action.name} have the entry {action.entry}"
                fault = Fault(path, text, "give each action its own entry call")
                keys = {team: ("action", owner, "entry"), policy.team: path}
                yield CrossFault(policy.team, fault, keys)


def cycle_faults(document: Document) -> Iterator[CrossFault]:
    """Yield each call that closes a cycle, in time linear in the number of calls."""
    done: set[str] = set()
    for start in document.calls:
        trail: dict[str, None] = {}
        # Each call is pushed a second time below its internal calls, to remove it from the trail.
        pending = [(start, False)]
        while pending:
            name, finished = pending.pop()
            if finished:
                del trail[name]
                done.add(name)
            elif name in trail:
                yield cycle_fault(document, list(trail), name)
            elif name not in done and name in document.calls:
                trail[name] = None
                pending.append((name, True))
                pending.extend((inner, False) for inner in document.calls[name].calls)


def cycle_fault(document: Document, trail: list[str], name: str) -> CrossFault:
    """Return the fault for a trail of calls whose last one calls an earlier one."""
    calls = [document.calls[met] for met in trail[trail.index(name) :]]
    keys = {document.services[call.service].team: call_path(call) for call in calls}
    cycle = " -> ".join([*(call.full_name for call in calls), name])
    text, last = f"the calls form a cycle: {cycle}", calls[-1]
    fault = Fault(call_path(last), text, "remove one of these calls from its list")
    return CrossFault(document.services[last.service].team, fault, keys)
