#!/bin/sh
# The stand-ins are Python programs that use the standard library only, so nothing is
# compiled: this checks that the interpreter is there and reads every one of them.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
PYTHON
