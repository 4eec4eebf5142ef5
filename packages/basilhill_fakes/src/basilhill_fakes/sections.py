"""Operators that change the sections of one document."""

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
class Operators:
    """Last published texts of the sections, and all published changes."""

    texts: dict[str, str]
    changes: list[Change] = field(factory=list)
    lock: asyncio.Lock = field(factory=asyncio.Lock)


def new_operators(document: str) -> Operators:
    """Return the operators of a document that was published as the first revision."""
    return Operators({section.team: section.text for section in split_sections(document, 1)})
