#!/usr/bin/env bash
# Builds the stand-ins of the cases: checks that the interpreter runs here and compiles their sources.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), sys.version
for source in pathlib.Path(".").rglob("*.py"):
    ast.parse(source.read_text(encoding="utf-8"), str(source))
PYTHON
