"""Check the values of a section."""

import re
from collections.abc import Iterable, Iterator
from difflib import get_close_matches
from typing import Any

from attrs import frozen

from basilhill.calls import PriorityClass
from basilhill.documents import Severity
from basilhill.queries.document_lines import KeyPath

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
# HTTP clients and libraries may repeat requests of other methods after a lost connection.
NON_IDEMPOTENT_METHODS = ("POST", "PATCH")
# Responses are retained for the token lifetime of 600 s, so no call may take longer.
MAX_TIMEOUT_MS = 600_000
RANGES = {
    "slots": (1, 100_000),
    "connections": (1, 1_000_000),
    "timeout_ms": (1, MAX_TIMEOUT_MS),
    "usual_ms": (0, MAX_TIMEOUT_MS),
    "retries": (0, 20),
}
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
PATH_PATTERN = re.compile(r"(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+")
DURATION_PATTERN = re.compile(r"\s*(\d+(?:\.\d+)?)\s*(ms|s|sec|seconds|m|min|minutes)?\s*")
UNIT_MS = {"s": 1000, "sec": 1000, "seconds": 1000, "m": 60_000, "min": 60_000, "minutes": 60_000}
UNIT_SUFFIX_PATTERN = re.compile(r"_?(s|sec|secs|seconds|us|ms|millis|m|min|minutes)$")


@frozen
class Fault:
    """Problem at a key whose line is not known yet."""

    path: KeyPath
    text: str
    correction: str = ""
    severity: Severity = Severity.ERROR


def iter_tables(given: Any, key: str) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield the tables below a key; skip other values, which the type check reports."""
    below = given.get(key) if isinstance(given, dict) else None
    if isinstance(below, dict):
        yield from ((name, table) for name, table in below.items() if isinstance(table, dict))


def value_faults(team: Any) -> Iterator[Fault]:
    """Yield the values of a team's table that have the right type but are invalid."""
    for service, table in iter_tables(team, "service"):
        path = ("service", service)
        yield from name_faults(path)
        yield from range_faults(path, table)
        yield from same_request_faults(path, table)
        for call, call_table in iter_tables(table, "call"):
            yield from call_faults((*path, "call", call), call_table)
    for action, table in iter_tables(team, "action"):
        yield from action_faults(("action", action), table)


def name_faults(path: KeyPath) -> Iterator[Fault]:
    """Yield a fault if the last part of a path is not a valid name."""
    if not NAME_PATTERN.fullmatch(path[-1]):
        correction = "use letters, digits, - and _, up to 64 of them"
        yield Fault(path, f"{path[-1]!r} is not a name", correction)


def range_faults(path: KeyPath, table: dict[str, Any]) -> Iterator[Fault]:
    """Yield the numbers of a table that are out of range."""
    for key, (lowest, highest) in RANGES.items():
        value = table.get(key)
        if type(value) is int and not lowest <= value <= highest:
            text = f"{value} is out of range"
            yield Fault((*path, key), text, f"write a number from {lowest} to {highest}")


def call_faults(path: KeyPath, table: dict[str, Any]) -> Iterator[Fault]:
    """Yield the invalid values of a call table."""
    yield from name_faults(path)
    yield from range_faults(path, table)
    method, request_path = table.get("method"), table.get("path")
    if type(method) is str and method not in METHODS:
        yield Fault((*path, "method"), f"unknown method {method!r}", f"use {', '.join(METHODS)}")
    elif (
        type(method) is str
        and table.get("idempotent") is False
        and method not in NON_IDEMPOTENT_METHODS
    ):
        text = f"HTTP clients repeat {method} automatically, which can run the call more than once"
        yield Fault((*path, "method"), text, "use POST or PATCH, or make the call idempotent")
    if type(request_path) is str and not is_plain_path(request_path):
        correction = "write a path such as /bookings, without query, '..', '%' or final '/'"
        yield Fault((*path, "path"), f"{request_path!r} is not a plain path", correction)
    timeout_ms, usual_ms = table.get("timeout_ms"), table.get("usual_ms")
    if type(timeout_ms) is int and type(usual_ms) is int and usual_ms >= timeout_ms:
        text = f"the usual time of {usual_ms} ms leaves no time before the timeout"
        yield Fault((*path, "usual_ms"), text, f"write less than timeout_ms = {timeout_ms}")
    calls = table.get("calls")
    for name in calls if type(calls) is list else ():
        if type(name) is str and name.count(".") != 1:
            text = f"{name!r} is not the name of a call"
            yield Fault((*path, "calls"), text, "write SERVICE.CALL")


def is_plain_path(path: str) -> bool:
    """Return whether a path has a single interpretation on all servers."""
    return PATH_PATTERN.fullmatch(path) is not None and not {".", ".."} & set(path.split("/"))


def action_faults(path: KeyPath, table: dict[str, Any]) -> Iterator[Fault]:
    """Yield the invalid values of an action table."""
    yield from name_faults(path)
    yield from range_faults(path, table)
    priority_class, entry = table.get("class"), table.get("entry")
    names = [kind.name.lower() for kind in PriorityClass]
    if type(priority_class) is str and priority_class not in names:
        text = f"unknown class {priority_class!r}"
        yield Fault((*path, "class"), text, f"use {', '.join(names)}")
    if type(entry) is str and entry.count(".") != 1:
        yield Fault((*path, "entry"), f"{entry!r} is not the name of a call", "write SERVICE.CALL")


def same_request_faults(path: KeyPath, table: dict[str, Any]) -> Iterator[Fault]:
    """Yield the calls of a service that have the method and path of an earlier one."""
    seen: dict[tuple[Any, Any], str] = {}
    for name, call in iter_tables(table, "call"):
        request = (call.get("method"), call.get("path"))
        if not all(type(part) is str for part in request):
            continue
        earlier = seen.setdefault(request, name)
        if earlier != name:
            text = f"the call {earlier} has the same method and path"
            yield Fault((*path, "call", name, "path"), text, "give each call its own path")


def unknown_key_correction(key: str, known: Iterable[str]) -> str:
    """Return a correction for an unknown key: the likely key or all known ones."""
    known = list(known)
    base = UNIT_SUFFIX_PATTERN.sub("", key)
    if f"{base}_ms" in known:
        return f"write {base}_ms, in milliseconds"
    close = get_close_matches(key, known, 1)
    return f"write {close[0]}" if close else f"known keys: {', '.join(known)}"


def correction_of(path: KeyPath, value: Any) -> str:
    """Return a correction for a value of the wrong type, with the likely value if possible."""
    key = path[-1] if path else ""
    if key.endswith("_ms"):
        found = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
        if found:
            number = round(float(found.group(1)) * UNIT_MS.get(found.group(2) or "ms", 1))
            return f"write {key} = {number}, in milliseconds without a unit"
        return "write a whole number of milliseconds"
    if key in RANGES:
        return "write a whole number"
    if key == "idempotent":
        return "write true or false"
    if key == "calls":
        return 'write a list such as ["calendar.hold"]'
    return "write a string in quotes" if key in ("method", "path", "entry", "class") else ""
