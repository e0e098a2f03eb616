#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python and need only its standard library,
# so there is nothing to compile: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - parts-2/*.py [6-9]/case.py 10/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("readable:", path)
PYTHON
