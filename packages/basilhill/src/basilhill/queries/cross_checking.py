"""Check sections against each other."""

import tomllib
from collections.abc import Iterable, Iterator

from attrs import frozen

from basilhill.documents import (
    CallPolicy,
    Document,
    Problem,
    Section,
    SectionPolicy,
    ServicePolicy,
    Severity,
)
from basilhill.queries.checking import Fault, tables
from basilhill.queries.documents import build_document, parse_section, split_sections
from basilhill.queries.parsing import located, value_at


@frozen
class CheckedDocument:
    """Hold the valid sections of a document and all its problems."""

    policies: tuple[SectionPolicy, ...]
    problems: tuple[Problem, ...]

    @property
    def refused(self) -> bool:
        """Tell whether any section would be refused."""
        return any(problem.severity is Severity.ERROR for problem in self.problems)


def check_document(text: str) -> CheckedDocument:
    """Check a whole document."""
    sections = split_sections(text, 0)
    parsed = [parse_section(section) for section in sections]
    policies = tuple(result.ok for result in parsed if result.is_ok())
    problems = [problem for result in parsed if result.is_error() for problem in result.error]
    # Calls of refused sections are named, so that references to them are not unknown.
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
        for service, table in tables(value_at(teams, ("team", section.team)), "service"):
            names.update(f"{service}.{call}" for call, _ in tables(table, "call"))
    return frozenset(names)


def cross_problems(
    policies: Iterable[SectionPolicy],
    sections: Iterable[Section],
    named: frozenset[str] | None = frozenset(),
) -> tuple[Problem, ...]:
    """Return what is wrong between valid sections.

    Calls that are only named, in sections not given, are not reported as unknown; with None, no
    call is.
    """
    policies = tuple(policies)
    document = build_document(policies)
    by_team = {section.team: section for section in sections}
    faults: dict[str, list[Fault]] = {}
    for team, fault in (
        *owner_faults(policies),
        *call_faults(document, named),
        *action_faults(policies, document, named),
        *cycle_faults(document),
    ):
        faults.setdefault(team, []).append(fault)
    return tuple(
        problem
        for team, found in faults.items()
        for problem in located(by_team.get(team, Section(team, 0, "")), found)
    )


def owner_faults(policies: tuple[SectionPolicy, ...]) -> Iterator[tuple[str, Fault]]:
    """Yield the services and actions that an earlier team has already."""
    owners: dict[tuple[str, str], str] = {}
    for policy in policies:
        names = [("service", name) for name in policy.services]
        names += [("action", name) for name in policy.actions]
        for path in names:
            owner = owners.setdefault(path, policy.team)
            if owner != policy.team:
                text = f"team {owner} owns the {path[0]} {path[1]} already"
                yield policy.team, Fault(path, text, "rename it, or remove it from one section")


def call_path(call: CallPolicy) -> tuple[str, ...]:
    """Return the path of a call's list of internal calls in its section."""
    return ("service", call.service, "call", call.name, "calls")


def each_call(document: Document) -> Iterator[tuple[ServicePolicy, CallPolicy]]:
    """Yield every call with its service."""
    for service in document.services.values():
        for call in service.calls.values():
            yield service, call


def call_faults(document: Document, named: frozenset[str] | None) -> Iterator[tuple[str, Fault]]:
    """Yield the internal calls that do not exist or that their caller may not make."""
    for service, call in each_call(document):
        path = call_path(call)
        for name in call.calls:
            inner = document.calls.get(name)
            if inner is None:
                if named is not None and name not in named:
                    yield service.team, Fault(path, *unknown_call(document, name))
                continue
            if call.idempotent and not inner.idempotent:
                text = f"an idempotent call makes the non-idempotent call {name}"
                correction = "set idempotent = false, because a repeat would run it again"
                yield service.team, Fault(path, text, correction)
            if inner.timeout_ms > call.timeout_ms:
                text = (
                    f"{name} has timeout_ms = {inner.timeout_ms}, longer than {call.timeout_ms} "
                    f"of {call.full_name}"
                )
                correction = "the shorter one counts; lower the inner one or raise the outer one"
                yield service.team, Fault(path, text, correction, Severity.WARNING)


def unknown_call(document: Document, name: str) -> tuple[str, str]:
    """Return the text and the correction for a call that does not exist."""
    service = name.split(".")[0]
    if service not in document.services:
        known = ", ".join(sorted(document.services)[:10])
        return f"unknown service {service}", f"services: {known}"
    known = ", ".join(sorted(document.services[service].calls))
    return f"unknown call {name}", f"calls of {service}: {known}"


def action_faults(
    policies: tuple[SectionPolicy, ...], document: Document, named: frozenset[str] | None
) -> Iterator[tuple[str, Fault]]:
    """Yield the actions whose entry does not exist or belongs to another action."""
    owners: dict[str, str] = {}
    for policy in policies:
        for action in policy.actions.values():
            path = ("action", action.name, "entry")
            known = named is None or action.entry in document.calls or action.entry in named
            if not known:
                yield policy.team, Fault(path, *unknown_call(document, action.entry))
            owner = owners.setdefault(action.entry, action.name)
            if owner != action.name:
                text = f"the action {owner} has the entry {action.entry} already"
                yield policy.team, Fault(path, text, "give each action its own entry call")


def cycle_faults(document: Document) -> Iterator[tuple[str, Fault]]:
    """Yield each cycle of calls once, at the call where it was met first."""
    done: set[str] = set()
    for start in document.calls:
        trail: list[str] = []
        pending = [(start, 0)]
        while pending:
            name, depth = pending.pop()
            del trail[depth:]
            if name in trail:
                call = document.calls[trail[-1]]
                team = document.services[call.service].team
                cycle = " -> ".join([*trail[trail.index(name) :], name])
                text = f"the calls form a cycle: {cycle}"
                yield team, Fault(call_path(call), text, f"remove {name} from this list")
                continue
            if name in done or name not in document.calls:
                continue
            trail.append(name)
            pending.extend((inner, depth + 1) for inner in document.calls[name].calls)
        done.update(reachable(document, start))


def reachable(document: Document, start: str) -> set[str]:
    """Return a call and all calls below it."""
    found: set[str] = set()
    pending = [start]
    while pending:
        name = pending.pop()
        if name not in found and name in document.calls:
            found.add(name)
            pending.extend(document.calls[name].calls)
    return found
