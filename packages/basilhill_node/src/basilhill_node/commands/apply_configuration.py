"""Put sections of the document in force."""

from collections.abc import Iterable

from basilhill.documents import RefusedSection, Section
from basilhill.queries.documents import build_document, parse_section

from basilhill_node.state import NodeState


def apply_sections(node: NodeState, sections: Iterable[Section]) -> None:
    """Put newer valid sections in force and report the others."""
    policies = dict(node.document.sections)
    for section in sections:
        held = node.sections.get(section.team)
        if held is not None and section.revision <= held.revision:
            continue
        parsed = parse_section(section)
        if parsed.is_error():
            node.refused[section.team] = RefusedSection(section, parsed.error)
            node.log.record("config", "", f"refused {section.team}", str(parsed.error[0]))
            continue
        policies[section.team] = parsed.ok
        node.sections[section.team] = section
        node.refused.pop(section.team, None)
        node.log.record("config", "", f"in force {section.team}@{section.revision}")
    node.document = build_document(policies.values())
    own = node.document.services.get(node.settings.service)
    if own is not None and own.slots != node.admission.slots:
        node.admission.slots = own.slots
        node.admission.limit = float(own.slots)
