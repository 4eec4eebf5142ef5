#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python scripts that need the standard library only,
# so this compiles them, and checks that the deploy file's build has put the program into target/.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in (pathlib.Path("review/harness_2.py"), *(pathlib.Path(f"review/{n}/case.py") for n in range(6, 11))):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
if not pathlib.Path("target/deps/basilhill_node/platform").is_dir():
    print("the build of deploy/system.toml has still to put the program into target/")
END
