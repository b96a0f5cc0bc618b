#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library: nothing to compile, only a check that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c '
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), sys.version
for path in pathlib.Path(".").glob("**/*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
