"""Compare versions of sections and decide which sections are active together."""

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from attrs import evolve, frozen

from basilhill.documents import RefusedSection, Section, SectionPolicy, Severity
from basilhill.queries.checking import Fault
from basilhill.queries.cross_checking import call_path, rule_faults
from basilhill.queries.document_lines import KeyPath
from basilhill.queries.documents import build_document
from basilhill.queries.parsing import locate_faults
from basilhill.sections import (
    DIGEST_BUCKETS,
    Resolution,
    SectionTable,
    SectionVersion,
    TeamVersions,
    ValidSection,
    is_shard,
)


@frozen
class Conflict:
    """Section to refuse because of a conflict with another team's section, and its fault."""

    team: str
    fault: Fault


def changed_sections(
    table: SectionTable, sections: Iterable[Section], revision: int
) -> tuple[Section, ...]:
    """Return the sections that a whole document changes; removed teams are empty sections."""
    if revision < table.complete_revision:
        return ()
    by_team = {section.team: section for section in sections}
    changed = [s for s in by_team.values() if section_differs(table, s)]
    for team, versions in table.teams.items():
        present = versions.newest.text and versions.newest.revision < revision
        if present and team not in by_team and not is_shard(team):
            changed.append(Section(team, revision, ""))
    return tuple(changed)


def section_differs(table: SectionTable, section: Section) -> bool:
    """Return whether a section differs from the newest stored one of its team."""
    stored = table.teams.get(section.team)
    return stored is None or stored.newest.text != section.text


def is_read_stale(table: SectionTable, section: Section) -> bool:
    """Return whether this node has read a later document with a different section of the team."""
    if is_shard(section.team) or section.revision >= table.complete_revision:
        return False
    return section_differs(table, section)


def sections_to_send(
    table: SectionTable, team: str
) -> tuple[tuple[Section, ...], tuple[Section, ...]]:
    """Return the sections of a team to send: the newest and the valid one, and the fallback."""
    versions = table.teams[team]
    sections = [versions.newest]
    if versions.valid is not None and versions.valid.section != versions.newest:
        sections.append(versions.valid.section)
    fallback = active_fallback(table, versions)
    return tuple(sections), (fallback.section,) if fallback else ()


def active_fallback(table: SectionTable, versions: TeamVersions) -> ValidSection | None:
    """Return the fallback of a team if it is active."""
    if versions.fallback is None:
        return None
    active = table.resolution.active.get(versions.newest.team)
    is_active = active is not None and active.section == versions.fallback.section
    return versions.fallback if is_active else None


def version_of(table: SectionTable, team: str) -> SectionVersion:
    """Return the version of all stored sections of a team."""
    sections, fallbacks = sections_to_send(table, team)
    hashed = blake2b(digest_size=8)
    for section in (*sections, *fallbacks):
        hashed.update(f"{section.revision} {section.claims} {section.text}\n".encode())
    return SectionVersion(team, table.teams[team].newest.revision, hashed.hexdigest())


def bucket_of(team: str) -> int:
    """Return the digest bucket of a team."""
    return blake2b(team.encode(), digest_size=1).digest()[0] % DIGEST_BUCKETS


def versions_in(table: SectionTable, buckets: Iterable[int]) -> tuple[SectionVersion, ...]:
    """Return the versions of the teams in some buckets."""
    wanted = frozenset(buckets)
    return tuple(v for team, v in table.versions.items() if bucket_of(team) in wanted)


def bucket_digests(versions: dict[str, SectionVersion]) -> tuple[int, ...]:
    """Return a digest for each bucket, equal if two nodes store the same sections in it."""
    digests = [0] * DIGEST_BUCKETS
    for team, version in versions.items():
        hashed = blake2b(f"{team} {version.digest}".encode(), digest_size=8)
        digests[bucket_of(team)] ^= int.from_bytes(hashed.digest())
    return tuple(digests)


def differing_buckets(table: SectionTable, buckets: tuple[int, ...]) -> tuple[int, ...]:
    """Return the buckets whose digests differ between this node and a peer."""
    pairs = enumerate(zip(table.buckets, buckets, strict=False))
    return tuple(number for number, (local, other) in pairs if local != other)


def summary_digest(buckets: tuple[int, ...]) -> str:
    """Return a digest for heartbeats, equal if two nodes store the same sections."""
    return blake2b(repr(buckets).encode(), digest_size=8).hexdigest()


def teams_to_send(
    table: SectionTable, versions: Iterable[SectionVersion], buckets: Iterable[int]
) -> tuple[str, ...]:
    """Return the teams in some buckets whose sections a peer with these versions lacks."""
    theirs = {version.team: version for version in versions}
    wanted = []
    for local in versions_in(table, buckets):
        other = theirs.get(local.team)
        if other is None or (other.digest != local.digest and other.revision <= local.revision):
            wanted.append(local.team)
    return tuple(wanted)


def resolve_sections(teams: dict[str, TeamVersions]) -> Resolution:
    """Decide which valid sections are active; the order of arrival does not matter."""
    chosen = {
        team: stored.valid for team, stored in sorted(teams.items()) if stored.valid is not None
    }
    refused = {
        team: RefusedSection(stored.newest, stored.problems)
        for team, stored in teams.items()
        if stored.problems
    }
    while (conflict := next_conflict(chosen, teams)) is not None:
        section, stored = chosen[conflict.team].section, teams[conflict.team]
        problems = locate_faults(section, [conflict.fault])
        refused.setdefault(conflict.team, RefusedSection(section, problems))
        if chosen[conflict.team] is stored.valid and stored.fallback is not None:
            chosen[conflict.team] = stored.fallback
        else:
            del chosen[conflict.team]
    return Resolution(chosen, refused)


def next_conflict(
    chosen: dict[str, ValidSection], teams: dict[str, TeamVersions]
) -> Conflict | None:
    """Return one conflict between the chosen sections, the same on every node."""
    return (
        next(ownership_conflicts(chosen), None)
        or next(reference_conflicts(chosen, teams), None)
        or next(rule_conflicts(chosen), None)
    )


def ownership_conflicts(chosen: dict[str, ValidSection]) -> Iterator[Conflict]:
    """Yield the sections that claim a service or an action that another team claimed earlier."""
    owners: dict[str, tuple[int, str]] = {}
    for team, valid in sorted(chosen.items()):
        since = dict(valid.section.claims)
        for name in sorted(claimed_names(valid.policy)):
            claim = (since.get(name, valid.section.revision), team)
            other = owners.setdefault(name, claim)
            if other != claim:
                owners[name] = min(other, claim)
                kind, _, key = name.partition(" ")
                text = f"the {kind} belongs to team {owners[name][1]}"
                correction = "rename it, or remove it from one section"
                yield Conflict(max(other, claim)[1], Fault((kind, key), text, correction))


def claimed_names(policy: SectionPolicy | None) -> frozenset[str]:
    """Return the services and actions of a section, which only one team may own."""
    if policy is None:
        return frozenset()
    services = (f"service {name}" for name in policy.services)
    return frozenset((*services, *(f"action {name}" for name in policy.actions)))


def reference_conflicts(
    chosen: dict[str, ValidSection], teams: dict[str, TeamVersions]
) -> Iterator[Conflict]:
    """Yield the sections to refuse because a section refers to a call that no section defines."""
    known = {name for valid in chosen.values() for name in defined_calls(valid)}
    for team in sorted(chosen):
        referred = referred_calls(chosen[team])
        for name in sorted(referred.keys() - known):
            yield section_to_refuse(chosen, teams, team, name, referred[name])


def section_to_refuse(
    chosen: dict[str, ValidSection],
    teams: dict[str, TeamVersions],
    team: str,
    name: str,
    path: KeyPath,
) -> Conflict:
    """Return the conflict of the later section: the one with the reference or without the call."""
    service, _, call = name.partition(".")
    for other in sorted(chosen):
        fallback = teams[other].fallback
        if (
            chosen[other] is teams[other].valid
            and fallback is not None
            and name in defined_calls(fallback)
            and chosen[other].section.revision > chosen[team].section.revision
        ):
            text = f"team {team} still calls {name}"
            correction = f"keep it until team {team} has removed the call"
            return Conflict(other, Fault(("service", service, "call", call), text, correction))
    correction = "correct the name, or publish the section that has the call first"
    return Conflict(team, Fault(path, f"no team has the call {name}", correction))


def rule_conflicts(chosen: dict[str, ValidSection]) -> Iterator[Conflict]:
    """Yield the latest of the sections involved in each violation of a rule.

    The earlier ones were active without a fault and must not be refused for a later change.
    """
    policies = tuple(valid.policy for _, valid in sorted(chosen.items()) if valid.policy)
    for found in rule_faults(policies, build_document(policies)):
        if found.fault.severity is Severity.ERROR:
            revisions = {team: chosen[team].section.revision for team in found.keys}
            team = max(found.keys, key=lambda team: (revisions[team], team == found.team, team))
            yield Conflict(team, evolve(found.fault, path=found.keys[team]))


def defined_calls(valid: ValidSection) -> Iterator[str]:
    """Yield the full names of the calls that a section defines."""
    if valid.policy is not None:
        for service in valid.policy.services.values():
            for call in service.calls.values():
                yield call.full_name


def referred_calls(valid: ValidSection) -> dict[str, KeyPath]:
    """Return the full names of the calls that a section refers to, each with one key path."""
    found: dict[str, KeyPath] = {}
    if valid.policy is not None:
        for service in valid.policy.services.values():
            for call in service.calls.values():
                found |= dict.fromkeys(call.calls, call_path(call))
        for action in valid.policy.actions.values():
            found.setdefault(action.entry, ("action", action.name, "entry"))
    return found
