"""Command line of the basilhill-node program."""

import os
import sys
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

import uvloop
from attrs import asdict, field, fields, make_class
from basilhill.settings import DEFAULTS, NodeSettings, SettingsResult
from cyclopts import App, Parameter
from expression import Error

from basilhill_node.logs import start_logging
from basilhill_node.node import run_node
from basilhill_node.settings_sources import read_settings

EXIT_UNUSABLE = 2

HELP = """Run a node beside a backend server.

Each setting comes from a flag, else from the environment (BASILHILL_ and its name in capitals),
else from the file, else from its default. Names that end in -ms are milliseconds.
"""

EXAMPLES = """Examples:

- `basilhill-node node.toml`
- `BASILHILL_SERVICE=calendar basilhill-node node.toml --front-port 7400`
- `basilhill-node --address 10.0.0.7 --data-centre bucharest-1 --service calendar \
--platform-url http://10.0.0.1:7500`
"""


def flag_help(name: str) -> str:
    """Return the help text of the flag of a setting."""
    if name not in DEFAULTS:
        return "Required."
    default = DEFAULTS[name]
    return "For tests only." if default == () else f"Default: {default!r}."


SettingsFlags = make_class(
    "SettingsFlags",
    {
        attribute.name: field(
            default=None,
            type=Annotated[str | None, Parameter(help=flag_help(attribute.name))],
            kw_only=True,
        )
        for attribute in fields(NodeSettings)
    },
)

app = App(
    name="basilhill-node",
    help=HELP,
    help_epilogue=EXAMPLES,
    help_format="markdown",
    version_flags=[],
)


@app.default
def run(
    config: Path | None = None,
    *,
    flags: Annotated[SettingsFlags | None, Parameter(name="*")] = None,
    allow_disabled_mechanisms: Annotated[bool, Parameter(negative="")] = False,
) -> int:
    """Run a node until SIGTERM.

    Parameters
    ----------
    config
        TOML file with settings.
    allow_disabled_mechanisms
        For tests only: accept disabled_mechanisms, which disables mechanisms that keep calls safe.
    """
    given = (
        {name: text for name, text in asdict(flags).items() if text is not None} if flags else {}
    )
    settings = check_allowed(read_settings(config, os.environ, given), allow_disabled_mechanisms)
    if settings.is_error():
        for problem in settings.error:
            print(f"basilhill-node: {problem}", file=sys.stderr)
        return EXIT_UNUSABLE
    try:
        start_logging()
        uvloop.run(run_node(settings.ok))
    except OSError as error:
        print(f"basilhill-node: cannot serve: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return 0


def check_allowed(settings: SettingsResult, may_disable: bool) -> SettingsResult:
    """Return settings unless they disable mechanisms or expose the administration API.

    Disabled mechanisms need the flag, an address that is not loopback needs a token.
    """
    if settings.is_error():
        return settings
    problems = []
    if settings.ok.disabled_mechanisms and not may_disable:
        problems.append("disabled_mechanisms is for tests and needs --allow-disabled-mechanisms")
    if not settings.ok.administration_token and not is_loopback(settings.ok.administration_address):
        problems.append(
            "administration_token is required: administration_address "
            f"{settings.ok.administration_address} is not a loopback address"
        )
    return Error(tuple(problems)) if problems else settings


def is_loopback(address: str) -> bool:
    """Return whether an address is reachable only from this VM."""
    try:
        return ip_address(address).is_loopback
    except ValueError:
        return address == "localhost"


def main() -> None:
    sys.exit(app())


if __name__ == "__main__":
    main()
