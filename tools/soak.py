"""Run fault soaks of the node programs with given or fresh seeds; exit 1 on a broken promise."""

import argparse
import asyncio
import signal
import sys
import time
from pathlib import Path
from random import SystemRandom

from basilhill_fakes.soak import run_soak

ROOT = Path(__file__).parent.parent
FRESH_SEEDS = 1_000_000


def main() -> int:
    """Run the soaks one after the other and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; a fresh one if left out")
    parser.add_argument("--count", type=int, default=1, help="number of seeds, counted upwards")
    parser.add_argument("--seconds", type=float, default=12.0, help="time with faults of each soak")
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = SystemRandom().randrange(FRESH_SEEDS)
    # Raises SystemExit, so that the processes of the fleet end with this one.
    signal.signal(signal.SIGTERM, lambda *_signal: sys.exit(1))
    failed = 0
    for seed in range(first, first + arguments.count):
        directory = ROOT / "run" / f"soak-{seed}-{int(time.time())}"
        directory.mkdir(parents=True)
        result = asyncio.run(run_soak(seed, arguments.seconds, directory))
        print(result.summary(), flush=True)
        for line in result.broken:
            print(f"  {line}", flush=True)
        failed += bool(result.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
