#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python scripts that need the standard library only,
# so this compiles them. Where the build of the deploy file has not run yet, it is run as well.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib
import subprocess
import sys
import tomllib

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in (pathlib.Path("review/harness_2.py"), *(pathlib.Path(f"review/{n}/case.py") for n in range(6, 11))):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
if not pathlib.Path("target/deps/basilhill_node/platform").is_dir():
    print("target/ has no program yet: running the build of deploy/system.toml")
    build = tomllib.loads(pathlib.Path("deploy/system.toml").read_text())["build"]
    sys.exit(subprocess.run(build, shell=True).returncode)
END
