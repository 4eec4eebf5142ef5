"""Apply sections read from the platform or received from peers."""

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


def merge_sections(
    table: SectionTable,
    sections: Iterable[Section],
    fallbacks: Iterable[Section] = (),
    any_version: bool = False,
) -> tuple[str, ...]:
    """Apply the sections newer than the stored ones; return the teams that changed."""
    # In order of revision, so that an older valid section is stored before a newest one that
    # fails its check.
    ordered = sorted(sections, key=lambda section: section.revision)
    changed = [s.team for s in ordered if apply_section(table, s, any_version)]
    changed += [s.team for s in fallbacks if apply_fallback(table, s)]
    if changed:
        rebuild_index(table, all(is_shard(team) for team in changed))
    return tuple(dict.fromkeys(changed))


def rebuild_index(table: SectionTable, shards_only: bool) -> None:
    """Recompute the active sections and the versions, bucket digests and summary."""
    if not shards_only:
        documents = {team: stored for team, stored in table.teams.items() if not is_shard(team)}
        table.resolution = resolve_sections(documents)
    table.versions = {team: version_of(table, team) for team in table.teams}
    table.buckets = bucket_digests(table.versions)
    table.summary = summary_digest(table.buckets)


def record_complete_read(table: SectionTable, revision: int) -> None:
    """Record that this node has applied the whole document at a revision."""
    table.complete_revision = max(table.complete_revision, revision)


def apply_section(table: SectionTable, section: Section, any_version: bool) -> bool:
    """Apply a section that is newer than the stored one; return whether the stored state changed.

    Sections of equal or older revision can still contribute claims or a valid version.
    """
    stored = table.teams.get(section.team)
    if stored is None and section.text and is_read_stale(table, section) and not any_version:
        # This node read the document after the peer did, and the team was absent from it.
        section = Section(section.team, table.complete_revision, "")
    elif stored is not None and not any_version:
        if section.revision == stored.newest.revision:
            return merge_equal_revision(stored, section)
        if section.revision < stored.newest.revision:
            return apply_older_section(stored, section)
        if is_read_stale(table, section):
            # The stored text comes from a later read of the document than the text from the peer.
            raise_revision(stored, table.complete_revision)
            return True
    replace_newest(table, section)
    return True


def replace_newest(table: SectionTable, section: Section) -> None:
    """Store a section as the newest of its team."""
    stored = table.teams.get(section.team)
    active = table.resolution.active.get(section.team)
    parsed = parse_policy(section)
    if parsed.is_error():
        valid = stored.valid if stored else None
        fallback = stored.fallback if stored else None
        table.teams[section.team] = TeamVersions(section, parsed.error, valid, fallback)
        return
    section = evolve(section, claims=merged_claims(section, parsed.ok, stored))
    valid = ValidSection(section, parsed.ok)
    table.teams[section.team] = TeamVersions(section, (), valid, active)


def parse_policy(section: Section) -> Result[SectionPolicy | None, tuple[Problem, ...]]:
    """Return the policy of a section, None for a removal or a shard of the fleet list."""
    if is_shard(section.team) or not section.text:
        return Ok(None)
    try:
        return parse_section(section)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        # The parser does not handle this input. The section is refused, because an exception would
        # stop the reader.
        return Error((Problem(section.team, "", 0, f"{type(error).__name__}: {error}"),))


def merged_claims(
    section: Section, policy: SectionPolicy | None, stored: TeamVersions | None
) -> tuple[tuple[str, int], ...]:
    """Return the revision since which the team has owned each service and action continuously."""
    earlier = dict(stored.valid.section.claims) if stored and stored.valid else {}
    given = dict(section.claims)
    return tuple(
        (name, min(given.get(name, section.revision), earlier.get(name, section.revision)))
        for name in sorted(claimed_names(policy))
    )


def merge_equal_revision(stored: TeamVersions, section: Section) -> bool:
    """Merge a section of the newest revision, which may contain earlier claims."""
    if section.text != stored.newest.text:
        # Only shards of the fleet list can differ at one revision. The greater text wins, so that
        # all nodes choose the same one.
        if not is_shard(section.team) or section.text < stored.newest.text:
            return False
        stored.newest, stored.valid = section, ValidSection(section)
        return True
    if stored.valid is None or stored.valid.section != stored.newest:
        return False
    claims = merged_claims(section, stored.valid.policy, stored)
    if claims == stored.newest.claims:
        return False
    stored.newest = evolve(stored.newest, claims=claims)
    stored.valid = ValidSection(stored.newest, stored.valid.policy)
    return True


def apply_older_section(stored: TeamVersions, section: Section) -> bool:
    """Apply an older valid section if the newest is refused and no later valid one is stored."""
    if not stored.problems:
        return False
    if stored.valid is not None and section.revision <= stored.valid.section.revision:
        return False
    parsed = parse_policy(section)
    if parsed.is_error():
        return False
    section = evolve(section, claims=merged_claims(section, parsed.ok, stored))
    stored.valid = ValidSection(section, parsed.ok)
    return True


def apply_fallback(table: SectionTable, section: Section) -> bool:
    """Store the section that is active at a peer in place of a refused one."""
    stored = table.teams.get(section.team)
    if stored is None or stored.valid is None:
        return False
    if section.revision >= stored.valid.section.revision:
        return False
    if stored.fallback is not None and section.revision <= stored.fallback.section.revision:
        return False
    parsed = parse_policy(section)
    if parsed.is_error():
        return False
    stored.fallback = ValidSection(section, parsed.ok)
    return True


def raise_revision(stored: TeamVersions, revision: int) -> None:
    """Raise the revision of the newest section to that of a later read with the same text."""
    raised = evolve(stored.newest, revision=revision)
    if stored.valid is not None and stored.valid.section == stored.newest:
        stored.valid = ValidSection(raised, stored.valid.policy)
    stored.newest = raised
