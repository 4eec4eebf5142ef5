"""The operators' document: sections of teams, their services, calls and actions."""

from enum import Enum

from attrs import field, frozen

from basilhill.calls import PriorityClass


@frozen
class CallPolicy:
    """Describe one call of a service."""

    service: str
    name: str
    method: str
    path: str
    idempotent: bool
    timeout_ms: int
    usual_ms: int
    calls: tuple[str, ...] = ()

    @property
    def full_name(self) -> str:
        """Return the name by which other calls refer to this one."""
        return f"{self.service}.{self.name}"


@frozen
class ServicePolicy:
    """Describe one service."""

    name: str
    team: str
    slots: int
    connections: int
    calls: dict[str, CallPolicy]


@frozen
class ActionPolicy:
    """Describe one kind of customer action."""

    name: str
    team: str
    entry: str
    priority_class: PriorityClass
    timeout_ms: int
    retries: int


@frozen
class LineOrigin:
    """Tell where a run of a section's lines stands in the whole document."""

    section_line: int
    document_line: int


@frozen
class Section:
    """Hold the section of one team as read at a revision of the document."""

    team: str
    revision: int
    text: str
    # The revision since which the team has owned each of its services, as (service, revision).
    claims: tuple[tuple[str, int], ...] = field(default=(), eq=False)
    # Left out of comparisons and messages: lines move with every edit of a team above.
    origins: tuple[LineOrigin, ...] = field(default=(), eq=False, repr=False)


@frozen
class SectionPolicy:
    """Hold what a valid section says."""

    team: str
    contact: str
    services: dict[str, ServicePolicy]
    actions: dict[str, ActionPolicy]


class Severity(Enum):
    """Tell whether a problem refuses a section."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Problem:
    """Describe a fault of a section and how to correct it."""

    team: str
    key: str
    line: int
    text: str
    correction: str = ""
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return the problem as one line."""
        place = f"line {self.line}: " if self.line else ""
        key = f"{self.key}: " if self.key else ""
        correction = f"; {self.correction}" if self.correction else ""
        return f"{place}team {self.team or '(none)'}: {key}{self.text}{correction}"


@frozen
class Document:
    """Hold the sections in force, indexed for look-up."""

    sections: dict[str, SectionPolicy] = field(factory=dict)
    services: dict[str, ServicePolicy] = field(factory=dict)
    calls: dict[str, CallPolicy] = field(factory=dict)
    actions: dict[str, ActionPolicy] = field(factory=dict)
    actions_by_entry: dict[str, ActionPolicy] = field(factory=dict)


@frozen
class RefusedSection:
    """Hold a section that failed its check."""

    section: Section
    problems: tuple[Problem, ...]
