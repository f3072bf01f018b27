#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15: Python programs with the
# standard library only, so this checks that they can be read and run.
set -euo pipefail
cd "$(dirname "$0")"
/usr/bin/python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
paths = sorted(pathlib.Path("lib-3").glob("*.py"))
for number in range(11, 16):
    paths += sorted(pathlib.Path(str(number)).glob("*.py"))
for path in paths:
    ast.parse(path.read_text(), str(path))
print(len(paths), "files of stand-ins and cases")
PYTHON
