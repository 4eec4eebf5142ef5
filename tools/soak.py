"""Run fault soaks of the node programs with given or random seeds.

The exit status is 1 if an invariant is violated.
"""

import argparse
import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from random import SystemRandom

from attrs import evolve
from basilhill_fakes.soak import run_soak
from basilhill_fakes.soak_plans import PLANS

ROOT = Path(__file__).parent.parent
RANDOM_SEED_LIMIT = 1_000_000


def main() -> int:
    """Run the soaks one after another and print a summary line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; random if omitted")
    parser.add_argument("--count", type=int, default=1, help="number of seeds, counted upwards")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="fault phase of each soak, in s"
    )
    parser.add_argument("--plan", choices=PLANS, default="default", help="deployment and faults")
    parser.add_argument(
        "--nodes",
        nargs="*",
        default=(),
        metavar="PATH",
        help="search paths of the node program for each VM in turn, to run other revisions",
    )
    arguments = parser.parse_args()
    plan = evolve(PLANS[arguments.plan], node_paths=tuple(arguments.nodes))
    first = arguments.seed
    if first is None:
        first = SystemRandom().randrange(RANDOM_SEED_LIMIT)
    # SystemExit unwinds the soak, which stops the processes of its fleet.
    signal.signal(signal.SIGTERM, lambda *_signal: sys.exit(1))
    failed = 0
    for seed in range(first, first + arguments.count):
        directory = ROOT / "run" / f"soak-{arguments.plan}-{seed}-{int(time.time())}-{os.getpid()}"
        directory.mkdir(parents=True)
        result = asyncio.run(run_soak(seed, arguments.seconds, directory, plan))
        print(result.summary(), flush=True)
        for line in result.violations:
            print(f"  {line}", flush=True)
        failed += bool(result.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
