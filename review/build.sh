#!/bin/sh
# The stand-ins are Python programs that use the standard library only: check them.
cd "$(dirname "$0")/.." || exit 1
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
python3 - <<'PYTHON'
import ast
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text("utf-8"), str(path))
PYTHON
