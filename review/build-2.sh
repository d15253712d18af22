#!/usr/bin/env bash
# Builds the stand-ins of the second review: standard library only, so this compiles
# them and checks that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'P'
from pathlib import Path

for path in sorted(Path("review").glob("standins-2/*.py")) + [
    path
    for number in range(6, 11)
    for path in sorted(Path("review", str(number)).glob("*.py"))
]:
    compile(path.read_text("utf-8"), str(path), "exec")
P
PYTHONPATH=target/deps python3 -B -c 'import h11, msgspec, structlog, xxhash, zmq' || {
  echo "build deploy/system.toml first" >&2
  exit 1
}
