"""Versions of the sections that a node holds."""

from attrs import define, field, frozen

from basilhill.documents import Problem, RefusedSection, Section, SectionPolicy

# A TOML team name cannot hold a colon, so shards of the fleet list share the table of sections.
FLEET_PREFIX = "fleet:"
DIGEST_BUCKETS = 64


@frozen
class ValidSection:
    """Hold a section that is valid on its own; a removal has no policy."""

    section: Section
    policy: SectionPolicy | None = None


@define
class TeamVersions:
    """Hold the newest section of a team and the older ones that may be in force instead."""

    newest: Section
    problems: tuple[Problem, ...] = ()
    valid: ValidSection | None = None
    fallback: ValidSection | None = None


@frozen
class Resolution:
    """Hold the sections that are in force together and those that are refused."""

    in_force: dict[str, ValidSection] = field(factory=dict)
    refused: dict[str, RefusedSection] = field(factory=dict)


@frozen
class SectionVersion:
    """Name what a node holds of one team."""

    team: str
    revision: int
    digest: str


@define
class SectionTable:
    """Hold the sections of all teams, by team."""

    teams: dict[str, TeamVersions] = field(factory=dict)
    # The highest revision at which this node read the whole document itself.
    complete_revision: int = 0
    resolution: Resolution = field(factory=Resolution)
    # Computed whenever something is taken, because heartbeats and digests read them often.
    versions: dict[str, SectionVersion] = field(factory=dict)
    buckets: tuple[int, ...] = (0,) * DIGEST_BUCKETS
    summary: str = ""


@frozen
class SectionBatch:
    """Carry sections to a peer, either down the push tree below a root or as a repair."""

    sections: tuple[Section, ...]
    fallbacks: tuple[Section, ...] = ()
    root: str = ""


@frozen
class DigestReport:
    """Tell a peer what this node holds, by bucket, and by team in the buckets that differ."""

    buckets: tuple[int, ...] = ()
    versions: tuple[SectionVersion, ...] = ()
    differing: tuple[int, ...] = ()
    reply_wanted: bool = False


def is_shard(team: str) -> bool:
    """Tell whether a section holds a part of the fleet list."""
    return team.startswith(FLEET_PREFIX)
