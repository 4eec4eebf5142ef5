"""Published sections of one document and their changes."""

import asyncio

from attrs import define, field, frozen
from basilhill.queries.documents import split_sections


@frozen
class Change:
    """Published change of a section."""

    team: str
    revision: int
    published_ms: float
    valid: bool


@define
class PublishedSections:
    """Last published texts of the sections, and all published changes."""

    texts: dict[str, str]
    changes: list[Change] = field(factory=list)
    lock: asyncio.Lock = field(factory=asyncio.Lock)


def new_published_sections(document: str) -> PublishedSections:
    """Return the sections of a document that was published as the first revision."""
    return PublishedSections(
        {section.team: section.text for section in split_sections(document, 1)}
    )
