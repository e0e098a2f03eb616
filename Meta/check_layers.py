#!/usr/bin/env python3
"""Checks that each layer includes only the layers that docs/design.md allows."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ALLOWED = {
    "State": {"State"},
    "Protocol": {"State", "Protocol"},
    "Transport": {"State", "Protocol", "Transport"},
    "Coordination": {"State", "Protocol", "Coordination"},
}
INCLUDE = re.compile(r'#include\s+"(State|Protocol|Transport|Coordination)/')


def main():
    violations = []
    for layer, allowed in ALLOWED.items():
        for path in sorted((ROOT / "Libraries" / layer).rglob("*")):
            if path.suffix not in (".h", ".cpp"):
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                match = INCLUDE.match(line)
                if match and match.group(1) not in allowed:
                    violations.append(
                        f"{path.relative_to(ROOT)}:{number}: "
                        f"{layer} must not include {match.group(1)}")
    print("\n".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
