"""Measure the processor time of the choice of a backend server, by the size of its service.

`--old` names the package folder of another checkout, which is measured beside this one in turns.
"""

import argparse
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random

SIZES = (20, 100, 300, 870)
CHOICES = 20_000
TURNS = 3
PACKAGE = Path(__file__).parent.parent / "packages/basilhill/src"


def measure_here() -> dict[int, float]:
    """Return the microseconds of a choice by the number of servers, with the importable code."""
    from basilhill.backends import BackendDirectory, BackendEntry
    from basilhill.balancing import LoadTable
    from basilhill.commands import balancing as commands
    from basilhill.commands.backends import replace_entries
    from basilhill.queries import balancing as queries

    found = {}
    for size in SIZES:
        directory, loads, random = BackendDirectory(), LoadTable("dc-0"), Random(1)
        entries = [
            BackendEntry(f"i-{n}", "calendar", f"10.0.{n >> 8}.{n & 255}:80", f"dc-{n % 4}", 10)
            for n in range(size)
        ]
        replace_entries(directory, entries)
        for entry in entries:
            target = commands.find_or_add_target(loads, entry.server_id)
            commands.record_report(target, random.randrange(8))

        def choose(now_ms: int, directory=directory, loads=loads, random=random) -> None:
            if not hasattr(commands, "find_candidates"):
                queries.choose_backend(directory, loads, "calendar", now_ms, random)
                return
            candidates = commands.find_candidates(loads, directory, "calendar", now_ms)
            queries.choose_backend(candidates, loads, "r-1", 10.0, now_ms, random)

        choose(0)
        started = time.process_time()
        for number in range(CHOICES):
            # About the choices of a busy node, one in two milliseconds.
            choose(number * 2)
        found[size] = (time.process_time() - started) / CHOICES * 1e6
    return found


def measure(folder: Path) -> dict[str, float]:
    """Return the result of this program with the package in a folder."""
    environment = os.environ | {"PYTHONPATH": str(folder)}
    command = [sys.executable, __file__, "--here"]
    printed = subprocess.run(command, env=environment, check=True, capture_output=True, text=True)
    return json.loads(printed.stdout)


def main() -> None:
    """Print the median of some turns for this checkout and the other one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=Path, help="folder of the package basilhill to compare with")
    parser.add_argument("--here", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.here:
        print(json.dumps(measure_here()))
        return
    folders = {"this": PACKAGE} | ({"old": arguments.old} if arguments.old else {})
    turns = {name: [] for name in folders}
    for _ in range(TURNS):
        for name, folder in folders.items():
            turns[name].append(measure(folder))
    print("servers " + " ".join(f"{name:>8}" for name in folders) + "  microseconds a choice")
    for size in SIZES:
        medians = [sorted(turn[str(size)] for turn in turns[name])[TURNS // 2] for name in folders]
        print(f"{size:7} " + " ".join(f"{median:8.1f}" for median in medians))


if __name__ == "__main__":
    main()
