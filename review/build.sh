#!/usr/bin/env bash
# Checks that the stand-ins compile; they use the standard library of Python 3.11 only.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
