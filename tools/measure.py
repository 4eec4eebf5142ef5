"""Run one scenario on loopback and print its results; the last line is one JSON object."""

import argparse
import gc
import subprocess
import sys
import time
from pathlib import Path

import orjson
import uvloop
from basilhill_fakes.measurements import MODES, new_measurement
from basilhill_fakes.scenarios.catalogue import SCENARIOS
from basilhill_fakes.workloads import WORKLOADS
from rich.console import Console

ROOT = Path(__file__).parent.parent


def revision() -> str:
    """Return the git revision of this checkout, with `-dirty` if it has changes."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=12", "--exclude=*"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or "unknown"


async def run(arguments: argparse.Namespace) -> dict:
    """Run the scenario, write `result.json` and return the result."""
    run_name = f"{arguments.scenario}-{arguments.workload}-{arguments.mode}-{arguments.seed}"
    directory = ROOT / "run" / f"{run_name}-{int(time.time())}"
    console = Console(force_terminal=None)
    workload = WORKLOADS[arguments.workload]
    measurement = new_measurement(
        workload, arguments.mode, arguments.seed, ROOT, directory, console
    )
    measurement.fleet.settings["disabled_mechanisms"] = arguments.disable
    measurement.log_progress(f"{run_name}: seed {arguments.seed}")
    started = time.monotonic()
    fields = await SCENARIOS[arguments.scenario].run(measurement)
    result = {
        "scenario": arguments.scenario,
        "workload": arguments.workload,
        "mode": arguments.mode,
        "seed": arguments.seed,
        "revision": revision(),
        "disabled": arguments.disable,
        "run_s": round(time.monotonic() - started, 1),
        **fields,
    }
    (directory / "result.json").write_bytes(orjson.dumps(result, option=orjson.OPT_INDENT_2))
    measurement.log_progress(f"result: {(directory / 'result.json').relative_to(ROOT)}")
    return result


def main() -> None:
    """Parse the arguments, run the scenario and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scenario", choices=sorted(SCENARIOS), default="storm")
    parser.add_argument("--workload", choices=sorted(WORKLOADS), default="degustari")
    parser.add_argument("--mode", choices=MODES, default="basilhill")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--disable", nargs="*", default=[], help="node mechanisms to switch off")
    # The garbage collector would traverse the 200,000 events of a storm repeatedly.
    gc.disable()
    result = uvloop.run(run(parser.parse_args()))
    sys.stdout.write(orjson.dumps(result).decode() + "\n")


if __name__ == "__main__":
    main()
