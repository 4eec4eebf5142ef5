"""Put sections of the document and of the fleet list in force."""

from collections.abc import Iterable

from basilhill.commands.fleet import apply_fleet_list
from basilhill.commands.sections import take_sections
from basilhill.documents import Section
from basilhill.queries.documents import build_document
from basilhill.queries.fleet import listed_vms
from basilhill.sections import is_shard

from basilhill_node.commands.leave_fleet import follow_own_entry
from basilhill_node.state import NodeState


def apply_sections(
    node: NodeState, sections: Iterable[Section], fallbacks: Iterable[Section] = ()
) -> tuple[str, ...]:
    """Put newer sections in force and report refused ones; return the teams that changed."""
    any_version = node.disabled("section-versions")
    taken = take_sections(node.table, sections, fallbacks, any_version)
    if any(not is_shard(team) for team in taken):
        apply_document(node)
    if any(is_shard(team) for team in taken):
        apply_fleet(node)
    return taken


def apply_document(node: NodeState) -> None:
    """Serve by the sections that are in force together."""
    resolution = node.table.resolution
    in_force = {team: valid.section for team, valid in resolution.in_force.items() if valid.policy}
    for team, section in in_force.items():
        if node.sections.get(team) != section:
            node.log.record("config", "", f"in force {team}@{section.revision}")
    for team in node.sections.keys() - in_force.keys():
        node.log.record("config", "", f"no longer in force {team}")
    for team, refused in resolution.refused.items():
        if node.refused.get(team) != refused:
            choice = f"refused {team}@{refused.section.revision}"
            node.log.record("config", "", choice, str(refused.problems[0]))
    node.sections, node.refused = in_force, dict(resolution.refused)
    policies = (valid.policy for valid in resolution.in_force.values() if valid.policy)
    node.document = build_document(policies)
    own = node.document.services.get(node.settings.service)
    if own is not None and own.slots != node.admission.slots:
        node.admission.slots = own.slots
        node.admission.limit = float(own.slots)


def apply_fleet(node: NodeState) -> None:
    """Route by the fleet list that is held."""
    entries = listed_vms(node.table)
    gone = node.fleet.vms.keys() - {entry.node for entry in entries}
    services = frozenset(entry.service for entry in entries)
    apply_fleet_list(node.fleet, node.routing, entries, services, node.clock.now_ms())
    for peer in gone:
        node.peers.close(peer)
    follow_own_entry(node)
