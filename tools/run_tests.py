"""Run all tests except the known failures in KNOWN-RED.txt, and print each skipped test."""

import subprocess
import sys
from pathlib import Path

# Names as tests start and native tracebacks. Python 3.11 can fail with "AST constructor recursion
# depth mismatch" if garbage collection runs a failing finalizer while pytest parses source code to
# format a failure, and pytest then ends without the name of the test.
REPORT = ("-v", "--tb=native")
KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red_tests() -> list[str]:
    """Return the test ids listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line.removeprefix("test:").strip() for line in lines if line.startswith("test:")]


def main() -> int:
    """Run pytest and return its exit status."""
    known_red = read_known_red_tests()
    for test in known_red:
        print(f"skipped known failure: {test}", flush=True)
    arguments = [f"--deselect={test}" for test in known_red]
    command = [sys.executable, "-m", "pytest", *REPORT, *arguments, *sys.argv[1:]]
    return subprocess.run(command, cwd=KNOWN_RED.parent, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
