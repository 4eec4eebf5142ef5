"""Take sections that the platform or peers offer."""

from collections.abc import Iterable

from attrs import evolve
from expression import Error, Ok, Result

from basilhill.documents import Problem, Section, SectionPolicy
from basilhill.queries.documents import parse_section
from basilhill.queries.sections import (
    bucket_digests,
    claimed_names,
    is_read_stale,
    resolve_sections,
    summary_digest,
    version_of,
)
from basilhill.sections import SectionTable, TeamVersions, ValidSection, is_shard


def take_sections(
    table: SectionTable,
    sections: Iterable[Section],
    fallbacks: Iterable[Section] = (),
    any_version: bool = False,
) -> tuple[str, ...]:
    """Take what is newer than held; return the teams of which something was taken."""
    # Older ones first, so that a valid section is held when the newest one is refused.
    ordered = sorted(sections, key=lambda section: section.revision)
    taken = [s.team for s in ordered if apply_section(table, s, any_version)]
    taken += [s.team for s in fallbacks if apply_fallback(table, s)]
    if taken:
        rebuild_index(table, all(is_shard(team) for team in taken))
    return tuple(dict.fromkeys(taken))


def rebuild_index(table: SectionTable, shards_only: bool) -> None:
    """Decide anew what is in force and compute what heartbeats and digests tell."""
    if not shards_only:
        documents = {team: held for team, held in table.teams.items() if not is_shard(team)}
        table.resolution = resolve_sections(documents)
    table.versions = {team: version_of(table, team) for team in table.teams}
    table.buckets = bucket_digests(table.versions)
    table.summary = summary_digest(table.buckets)


def complete_read(table: SectionTable, revision: int) -> None:
    """Record that this node has taken the whole document at a revision."""
    table.complete_revision = max(table.complete_revision, revision)


def apply_section(table: SectionTable, section: Section, any_version: bool) -> bool:
    """Take a section if it is newer than the newest one of its team."""
    held = table.teams.get(section.team)
    if held is None and section.text and is_read_stale(table, section) and not any_version:
        # The team was absent when this node read the document later than the peer.
        section = Section(section.team, table.complete_revision, "")
    elif held is not None and not any_version:
        if section.revision == held.newest.revision:
            return merge_equal_revision(held, section)
        if section.revision < held.newest.revision:
            return apply_older_section(held, section)
        if is_read_stale(table, section):
            # This node read its own text later than the peer read the other one.
            raise_revision(held, table.complete_revision)
            return True
    replace_newest(table, section)
    return True


def replace_newest(table: SectionTable, section: Section) -> None:
    """Make a section the newest of its team."""
    held = table.teams.get(section.team)
    in_force = table.resolution.in_force.get(section.team)
    parsed = parse_stored(section)
    if parsed.is_error():
        valid = held.valid if held else None
        fallback = held.fallback if held else None
        table.teams[section.team] = TeamVersions(section, parsed.error, valid, fallback)
        return
    section = evolve(section, claims=merged_claims(section, parsed.ok, held))
    valid = ValidSection(section, parsed.ok)
    table.teams[section.team] = TeamVersions(section, (), valid, in_force)


def parse_stored(section: Section) -> Result[SectionPolicy | None, tuple[Problem, ...]]:
    """Return what a section says, nothing for a removal or a shard of the fleet list."""
    if is_shard(section.team) or not section.text:
        return Ok(None)
    try:
        return parse_section(section)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        # A section that the parser does not foresee is refused; it must not stop the reader.
        return Error((Problem(section.team, "", 0, f"{type(error).__name__}: {error}"),))


def merged_claims(
    section: Section, policy: SectionPolicy | None, held: TeamVersions | None
) -> tuple[tuple[str, int], ...]:
    """Return since when the team has owned its services and actions without a break."""
    earlier = dict(held.valid.section.claims) if held and held.valid else {}
    given = dict(section.claims)
    return tuple(
        (name, min(given.get(name, section.revision), earlier.get(name, section.revision)))
        for name in sorted(claimed_names(policy))
    )


def merge_equal_revision(held: TeamVersions, section: Section) -> bool:
    """Merge another copy of the newest section, which may know earlier claims."""
    if section.text != held.newest.text:
        # Only shards of the fleet list can differ at one revision; the greater text wins.
        if not is_shard(section.team) or section.text < held.newest.text:
            return False
        held.newest, held.valid = section, ValidSection(section)
        return True
    if held.valid is None or held.valid.section != held.newest:
        return False
    claims = merged_claims(section, held.valid.policy, held)
    if claims == held.newest.claims:
        return False
    held.newest = evolve(held.newest, claims=claims)
    held.valid = ValidSection(held.newest, held.valid.policy)
    return True


def apply_older_section(held: TeamVersions, section: Section) -> bool:
    """Take an older section when the newest one is refused and nothing better is held."""
    if not held.problems:
        return False
    if held.valid is not None and section.revision <= held.valid.section.revision:
        return False
    parsed = parse_stored(section)
    if parsed.is_error():
        return False
    section = evolve(section, claims=merged_claims(section, parsed.ok, held))
    held.valid = ValidSection(section, parsed.ok)
    return True


def apply_fallback(table: SectionTable, section: Section) -> bool:
    """Take the section that a peer has in force instead of a refused one."""
    held = table.teams.get(section.team)
    if held is None or held.valid is None:
        return False
    if section.revision >= held.valid.section.revision:
        return False
    if held.fallback is not None and section.revision <= held.fallback.section.revision:
        return False
    parsed = parse_stored(section)
    if parsed.is_error():
        return False
    held.fallback = ValidSection(section, parsed.ok)
    return True


def raise_revision(held: TeamVersions, revision: int) -> None:
    """Raise the newest section to the revision at which it was read again."""
    raised = evolve(held.newest, revision=revision)
    if held.valid is not None and held.valid.section == held.newest:
        held.valid = ValidSection(raised, held.valid.policy)
    held.newest = raised
