"""Activate sections of the configuration document and of the fleet list."""

from collections.abc import Iterable

from basilhill.commands.fleet import apply_fleet_list
from basilhill.commands.sections import merge_sections
from basilhill.documents import Section
from basilhill.queries.documents import build_document
from basilhill.queries.fleet import listed_vms
from basilhill.sections import is_shard

from basilhill_node.commands.leave_fleet import follow_own_entry
from basilhill_node.state import NodeState


def apply_sections(
    node: NodeState, sections: Iterable[Section], fallbacks: Iterable[Section] = ()
) -> tuple[str, ...]:
    """Activate newer sections and log rejected ones; return the teams that changed."""
    any_version = node.is_disabled("section-versions")
    changed_teams = merge_sections(node.table, sections, fallbacks, any_version)
    if any(not is_shard(team) for team in changed_teams):
        apply_document(node)
    if any(is_shard(team) for team in changed_teams):
        apply_fleet(node)
    return changed_teams


def apply_document(node: NodeState) -> None:
    """Build the document from the active sections and log which sections changed."""
    resolution = node.table.resolution
    active = {team: valid.section for team, valid in resolution.active.items() if valid.policy}
    for team, section in active.items():
        if node.sections.get(team) != section:
            node.log.record("config", "", f"activated {team}@{section.revision}")
    for team in node.sections.keys() - active.keys():
        node.log.record("config", "", f"deactivated {team}")
    for team, refused in resolution.refused.items():
        if node.refused.get(team) != refused:
            choice = f"rejected {team}@{refused.section.revision}"
            node.log.record("config", "", choice, str(refused.problems[0]))
    node.sections, node.refused = active, dict(resolution.refused)
    policies = (valid.policy for valid in resolution.active.values() if valid.policy)
    node.document = build_document(policies)
    local_service = node.document.services.get(node.settings.service)
    if local_service is not None and local_service.slots != node.admission.slots:
        node.admission.slots = local_service.slots
        node.admission.limit = float(local_service.slots)


def apply_fleet(node: NodeState) -> None:
    """Route by the cached fleet list and close streams to removed nodes."""
    entries = listed_vms(node.table)
    removed_nodes = node.fleet.vms.keys() - {entry.node for entry in entries}
    services = frozenset(entry.service for entry in entries)
    apply_fleet_list(node.fleet, node.routing, entries, services, node.clock.now_ms())
    for peer in removed_nodes:
        node.peers.close(peer)
    follow_own_entry(node)
