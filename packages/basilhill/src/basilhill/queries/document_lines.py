"""Find the statements of a TOML text and the line numbers of its keys."""

import re
import tomllib
from collections.abc import Iterator

from attrs import frozen

KeyPath = tuple[str, ...]

# A table header of a team always ends the value before it, so that an unclosed string or array of
# one team does not extend into the sections of the teams below it.
TEAM_HEADER_PATTERN = re.compile(r"""\s*\[\s*(team|"team"|'team')\s*[.\]]""")
# Fast path for most lines: a bare key with a value that ends on the same line.
SIMPLE_STATEMENT_PATTERN = re.compile(
    r"""\s*([A-Za-z0-9_\-]+(?:\.[A-Za-z0-9_\-]+)*)\s*=\s*(?:"[^"\\]*"|'[^']*'|[\w.+:\-]+|\[[^\[\]"'#{}]*\]"""
    r"""|\[\s*(?:"[^"\\]*"\s*(?:,\s*)?)*\])\s*(?:\#.*)?"""
)
BARE_KEY_PATTERN = re.compile(r"[\w\-]+(?:\.[\w\-]+)*", re.ASCII)
TABLE_HEADER_PATTERN = re.compile(
    r"""\[((?:[^"'\[\]\#]|"(?:[^"\\]|\\.)*"|'[^']*')*)\]\s*(?:\#.*)?"""
)
QUOTED_PART_PATTERN = re.compile(r"""[^"'=]+|"(?:[^"\\]|\\.)*"|'[^']*'""")
# An unclosed string extends to the end of its line, so that scanning takes linear time.
TOKEN_PATTERN = re.compile(r'"""|\'\'\'|"(?:[^"\\]|\\.)*"?|\'[^\']*\'?|\#.*|[\[\]{}]')
STRING_END_PATTERNS = {
    '"""': re.compile(r'(?:[^"\\]|\\.|"(?!""))*"{3,5}'),
    "'''": re.compile(r".*?'{3,5}"),
}


@frozen
class Statement:
    """Table header or key with its value, with its first and last line, counted from 1."""

    first: int
    last: int
    text: str
    is_header: bool
    path: KeyPath | None


@frozen
class UnclosedValue:
    """Open string quote and bracket depth of a value that continues on the next line."""

    quote: str = ""
    depth: int = 0


def statements(text: str) -> Iterator[Statement]:
    """Yield the statements of a text without comments and blank lines between them."""
    lines = text.split("\n")
    index = 0
    while index < len(lines):
        line = lines[index].strip()
        if not line or line.startswith("#"):
            index += 1
            continue
        simple = SIMPLE_STATEMENT_PATTERN.fullmatch(line)
        if simple:
            path = tuple(simple.group(1).split("."))
            yield Statement(index + 1, index + 1, lines[index], False, path)
            index += 1
            continue
        last = last_line(lines, index)
        is_header = line.startswith("[")
        path = header_path(line) if is_header else key_path(line)
        whole = "\n".join(lines[index : last + 1])
        yield Statement(index + 1, last + 1, whole, is_header, path)
        index = last + 1


def last_line(lines: list[str], index: int) -> int:
    """Return the index of the last line of a statement."""
    if TEAM_HEADER_PATTERN.match(lines[index]):
        return index
    unclosed = scan_line(lines[index], UnclosedValue())
    while (unclosed.quote or unclosed.depth > 0) and index + 1 < len(lines):
        if TEAM_HEADER_PATTERN.match(lines[index + 1]):
            break
        index += 1
        unclosed = scan_line(lines[index], unclosed)
    return index


def scan_line(line: str, unclosed: UnclosedValue) -> UnclosedValue:
    """Return the quote and brackets that are unclosed at the end of a line."""
    quote, depth, position = unclosed.quote, unclosed.depth, 0
    while position < len(line):
        found = (STRING_END_PATTERNS[quote].match if quote else TOKEN_PATTERN.search)(
            line, position
        )
        if found is None:
            break
        position = found.end()
        token = found.group()
        if quote:
            quote = ""
        elif token in STRING_END_PATTERNS:
            quote = token
        elif token in "[{":
            depth += 1
        elif token in "]}":
            depth -= 1
    return UnclosedValue(quote, depth)


def header_path(line: str) -> KeyPath | None:
    """Return the path of a table header, None for an array of tables or a malformed header."""
    header = TABLE_HEADER_PATTERN.fullmatch(line)
    return None if header is None else dotted_path(header.group(1))


def key_path(line: str) -> KeyPath | None:
    """Return the path of the key at the start of a statement, None if it is malformed."""
    end = 0
    while found := QUOTED_PART_PATTERN.match(line, end):
        end = found.end()
    return dotted_path(line[:end])


def dotted_path(text: str) -> KeyPath | None:
    """Return the parts of a dotted key, None if it is malformed."""
    text = text.strip()
    if BARE_KEY_PATTERN.fullmatch(text):
        return tuple(text.split("."))
    try:
        value = tomllib.loads(f"{text} = 0")
    except tomllib.TOMLDecodeError:
        return None
    path = []
    while isinstance(value, dict) and len(value) == 1:
        key, value = next(iter(value.items()))
        path.append(key)
    return tuple(path)


def key_lines(text: str) -> dict[KeyPath, int]:
    """Return the line of each table header and key of a text."""
    lines: dict[KeyPath, int] = {}
    header: KeyPath = ()
    for statement in statements(text):
        if statement.path is None:
            continue
        if statement.is_header:
            header = statement.path
        path = header if statement.is_header else header + statement.path
        lines.setdefault(path, statement.first)
    return lines


def line_of(lines: dict[KeyPath, int], path: KeyPath) -> int:
    """Return the line of a key, else of the nearest enclosing table, else 0."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    below = [line for known, line in lines.items() if known[: len(path)] == path]
    return min(below, default=0)
