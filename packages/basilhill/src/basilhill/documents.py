"""Configuration document of the operators: sections of teams with services, calls and actions."""

from enum import Enum

from attrs import field, frozen

from basilhill.calls import PriorityClass


@frozen
class CallPolicy:
    """Policy of one call of a service."""

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
        """Return the name that other calls use to refer to this one."""
        return f"{self.service}.{self.name}"


@frozen
class ServicePolicy:
    """Policy of one service."""

    name: str
    team: str
    slots: int
    connections: int
    calls: dict[str, CallPolicy]


@frozen
class ActionPolicy:
    """Policy of one kind of customer action."""

    name: str
    team: str
    entry: str
    priority_class: PriorityClass
    timeout_ms: int
    retries: int


@frozen
class LineOrigin:
    """Position in the whole document of a run of lines of a section."""

    section_line: int
    document_line: int


@frozen
class Section:
    """Section of one team, read at a revision of the document."""

    team: str
    revision: int
    text: str
    # Revisions since which the team has owned its services and actions, as (name, revision).
    claims: tuple[tuple[str, int], ...] = field(default=(), eq=False)
    # Excluded from comparisons and messages, because an edit of an earlier section changes the line
    # numbers.
    origins: tuple[LineOrigin, ...] = field(default=(), eq=False, repr=False)


@frozen
class SectionPolicy:
    """Content of a valid section."""

    team: str
    contact: str
    services: dict[str, ServicePolicy]
    actions: dict[str, ActionPolicy]


class Severity(Enum):
    """Severity of a problem; an error refuses the section."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Problem:
    """Fault of a section with its position and a correction."""

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
    """Active sections, indexed for look-up."""

    sections: dict[str, SectionPolicy] = field(factory=dict)
    services: dict[str, ServicePolicy] = field(factory=dict)
    calls: dict[str, CallPolicy] = field(factory=dict)
    actions: dict[str, ActionPolicy] = field(factory=dict)
    actions_by_entry: dict[str, ActionPolicy] = field(factory=dict)


@frozen
class RefusedSection:
    """Section that failed its check, with its problems."""

    section: Section
    problems: tuple[Problem, ...]
