"""Service and path of a request target."""

import re

from attrs import frozen
from basilhill.verdicts import Reason, Refusal, not_run
from expression import Error, Ok, Result

# Backend servers differ in how they read these, so a call could run under another call's policy.
AMBIGUOUS = re.compile(r"%(2f|5c|00|2e)|[\\\x00-\x20\x7f]|/\.{1,2}(/|$)|//", re.IGNORECASE)
CONTROL = re.compile(r"[\x00-\x20\x7f]")
ESCAPE = re.compile(r"%(?![0-9a-fA-F]{2})")


@frozen
class Target:
    """Hold the service that a request names and the path for its backend server."""

    service: str
    path: str


def parse_target(path: str, query: str) -> Result[Target, Refusal]:
    """Return what a request target names, or why it is refused."""
    if AMBIGUOUS.search(path) or ESCAPE.search(path) or CONTROL.search(query):
        text = "the path has '..', '//', an encoded slash or dot, or a broken escape"
        return Error(not_run(Reason.MALFORMED, text))
    service, slash, rest = path.removeprefix("/").partition("/")
    if not service or not slash:
        text = "the path is /SERVICE/PATH of a call"
        return Error(not_run(Reason.UNKNOWN_CALL, text))
    return Ok(Target(service, f"/{rest}?{query}" if query else f"/{rest}"))
