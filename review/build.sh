#!/usr/bin/env bash
# The stand-ins are Python with the standard library only, so there is nothing
# to build; this checks that they can be read. The nodes are built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
print("stand-ins can be read")
CHECK
