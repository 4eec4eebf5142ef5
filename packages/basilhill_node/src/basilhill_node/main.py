"""The basilhill-node program."""

import sys
import tomllib
from pathlib import Path

import uvloop
from basilhill.settings import normalise_settings
from cyclopts import App

from basilhill_node.logs import start_logging
from basilhill_node.node import run_node

app = App(name="basilhill-node", help="Run a node beside a backend server.")


@app.default
def run(config: Path) -> None:
    """Run a node with the settings of a TOML file."""
    settings = normalise_settings(tomllib.loads(config.read_text()))
    if settings.is_error():
        sys.exit("\n".join(f"{config}: {problem}" for problem in settings.error))
    start_logging()
    uvloop.run(run_node(settings.ok))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
