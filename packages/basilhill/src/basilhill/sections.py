"""Versions of the sections that a node stores."""

from attrs import define, field, frozen

from basilhill.documents import Problem, RefusedSection, Section, SectionPolicy

# Shards of the fleet list are stored as sections. A team name of the document cannot contain a
# colon, so the prefix cannot collide with one.
FLEET_PREFIX = "fleet:"
DIGEST_BUCKETS = 64


@frozen
class ValidSection:
    """Section that is valid by itself; a removal has no policy."""

    section: Section
    policy: SectionPolicy | None = None


@define
class TeamVersions:
    """Newest section of a team and the older ones that may be active in its place.

    `valid` is the newest section that passed its own check. `fallback` is an earlier active
    section, which stays active while `valid` conflicts with the sections of other teams.
    """

    newest: Section
    problems: tuple[Problem, ...] = ()
    valid: ValidSection | None = None
    fallback: ValidSection | None = None


@frozen
class Resolution:
    """Sections that are active together, and those that are refused."""

    active: dict[str, ValidSection] = field(factory=dict)
    refused: dict[str, RefusedSection] = field(factory=dict)


@frozen
class SectionVersion:
    """Version of the sections of one team that a node stores."""

    team: str
    revision: int
    digest: str


@define
class SectionTable:
    """Sections of all teams, by team."""

    teams: dict[str, TeamVersions] = field(factory=dict)
    # Highest revision at which this node itself read the whole document.
    complete_revision: int = 0
    resolution: Resolution = field(factory=Resolution)
    # Recomputed on each change of a section, because heartbeats and digests read them often.
    versions: dict[str, SectionVersion] = field(factory=dict)
    buckets: tuple[int, ...] = (0,) * DIGEST_BUCKETS
    summary: str = ""


@frozen
class SectionBatch:
    """Sections sent to a peer, either down the push tree below a root or as a repair."""

    sections: tuple[Section, ...]
    fallbacks: tuple[Section, ...] = ()
    root: str = ""


@frozen
class DigestReport:
    """Digests of the stored sections by bucket, and versions by team in the buckets that differ."""

    buckets: tuple[int, ...] = ()
    versions: tuple[SectionVersion, ...] = ()
    differing: tuple[int, ...] = ()
    reply_wanted: bool = False


def is_shard(team: str) -> bool:
    """Return whether a section contains a shard of the fleet list."""
    return team.startswith(FLEET_PREFIX)
