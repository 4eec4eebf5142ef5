"""Split the operators' document into the sections of its teams."""

from collections.abc import Iterator

from attrs import define, field, frozen

from basilhill.documents import LineOrigin, Section
from basilhill.queries.document_lines import KeyPath, Statement, statements

# Team of the section for text that belongs to no team. Its check fails, so the text is reported.
NO_TEAM = ""


@define
class SectionText:
    """Lines of one team's section and their origins in the document."""

    lines: list[str] = field(factory=list)
    origins: list[LineOrigin] = field(factory=list)
    header: Statement | None = None

    def add(self, line: int, text: str) -> None:
        """Append the text that starts at a line of the document."""
        added = text.split("\n")
        last = self.origins[-1] if self.origins else None
        if last is None or line - last.document_line != len(self.lines) + 1 - last.section_line:
            self.origins.append(LineOrigin(len(self.lines) + 1, line))
        self.lines.extend(added)


@frozen
class PlacedStatement:
    """Statement with its team and the header of its table."""

    team: str
    statement: Statement
    header: Statement | None


def split_sections(text: str, revision: int) -> tuple[Section, ...]:
    """Split a document into sections; text of no team forms a section that fails its check."""
    texts: dict[str, SectionText] = {}
    for placed in placed_statements(text.replace("\r\n", "\n")):
        section = texts.get(placed.team)
        if section is None:
            section = texts[placed.team] = SectionText()
        if placed.header is not None and section.header is not placed.header:
            section.header = placed.header
            section.add(placed.header.first, placed.header.text)
        if placed.statement is not placed.header:
            section.add(placed.statement.first, placed.statement.text)
    return tuple(
        Section(team, revision, "\n".join(section.lines) + "\n", origins=tuple(section.origins))
        for team, section in texts.items()
    )


def placed_statements(text: str) -> Iterator[PlacedStatement]:
    """Yield each statement of a document with its team."""
    header: Statement | None = None
    for statement in statements(text):
        if statement.is_header:
            header = statement
            # A bare [team] header is added to the sections of the teams of the keys below it.
            if statement.path != ("team",):
                yield PlacedStatement(team_of(statement.path), statement, statement)
            continue
        above = () if header is None else header.path
        if above is None or statement.path is None:
            yield PlacedStatement(team_of(above), statement, header)
        else:
            yield PlacedStatement(team_of(above + statement.path), statement, header)


def team_of(path: KeyPath | None) -> str:
    """Return the team of a key path, NO_TEAM if it belongs to none."""
    return path[1] if path is not None and len(path) > 1 and path[0] == "team" else NO_TEAM
