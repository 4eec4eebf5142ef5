"""Parsing of request targets into service and path."""

import re

from attrs import frozen
from basilhill.outcomes import Reason, Refusal, not_run
from expression import Error, Ok, Result

# Backend servers interpret these differently, so a call could run under the policy of another call.
AMBIGUOUS = re.compile(r"%(2f|5c|00|2e)|[\\\x00-\x20\x7f]|/\.{1,2}(/|$)|//", re.IGNORECASE)
CONTROL = re.compile(r"[\x00-\x20\x7f]")
ESCAPE = re.compile(r"%(?![0-9a-fA-F]{2})")


@frozen
class Target:
    """Service that a request is for, and the path to send to its backend server."""

    service: str
    path: str


def parse_target(path: str, query: str) -> Result[Target, Refusal]:
    """Return service and path of a request target, or the refusal of the request."""
    if AMBIGUOUS.search(path) or ESCAPE.search(path) or CONTROL.search(query):
        text = "the path has '..', '//', an encoded slash or dot, or a broken escape"
        return Error(not_run(Reason.MALFORMED, text))
    service, slash, rest = path.removeprefix("/").partition("/")
    if not service or not slash:
        text = "the path is /SERVICE/PATH of a call"
        return Error(not_run(Reason.UNKNOWN_CALL, text))
    return Ok(Target(service, f"/{rest}?{query}" if query else f"/{rest}"))
