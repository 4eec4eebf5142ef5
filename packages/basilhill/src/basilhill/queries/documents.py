"""Index the active sections and look up calls and services."""

from collections.abc import Iterable

from basilhill.documents import ActionPolicy, CallPolicy, Document, SectionPolicy, ServicePolicy
from basilhill.queries.parsing import parse_section
from basilhill.queries.splitting import split_sections

__all__ = ["build_document", "called_services", "find_call", "parse_section", "split_sections"]


def build_document(sections: Iterable[SectionPolicy]) -> Document:
    """Index valid sections for look-up."""
    by_team = {section.team: section for section in sections}
    services: dict[str, ServicePolicy] = {}
    actions: dict[str, ActionPolicy] = {}
    for section in by_team.values():
        # If several teams define a name, the first one owns it, as in the document check.
        services |= {k: v for k, v in section.services.items() if k not in services}
        actions |= {k: v for k, v in section.actions.items() if k not in actions}
    calls = {call.full_name: call for s in services.values() for call in s.calls.values()}
    by_entry = {action.entry: action for action in actions.values()}
    return Document(by_team, services, calls, actions, by_entry)


def find_call(document: Document, service: str, method: str, target: str) -> CallPolicy | None:
    """Return the policy of the call with the longest path prefix that matches."""
    policy = document.services.get(service)
    if policy is None:
        return None
    path = target.partition("?")[0]
    # Servers handle HEAD like GET without the body, so the policy of GET applies.
    methods = ("HEAD", "GET") if method == "HEAD" else (method,)
    matches = [
        call
        for call in policy.calls.values()
        if call.method in methods and (path == call.path or path.startswith(call.path + "/"))
    ]
    return max(matches, key=lambda call: (len(call.path), call.method == method), default=None)


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
