#!/usr/bin/env python3
"""Checks what docs/design.md allows: which layers a layer includes, and that
the platform's words stand only in the adapter and in tests of it."""
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
INCLUDE = re.compile(
    r'#include\s+"(State|Protocol|Transport|Coordination|Services|platform)/')
# The adapter translates, so it may not decide: no coordination.
ADAPTER_ALLOWED = {"State", "Protocol", "Transport", "platform"}
# The one file that chooses the adapter.
ADAPTER_USERS = {"Services/teaselholdd/Adapters.cpp"}
PLATFORM_WORDS = re.compile(
    r"heartbeatAddr|virtualHosts|weightedTargets|targetLatency|maxAttempts\"|"
    r"X-Response-Seal|X-Not-Executed|X-Expected-Instance|X-Caller-Service|"
    r"X-Deadline-Ms|X-Request-Id|X-Credential|X-Tenant-Name|apiKeys|ratePerS|"
    r"op/rollout|targetVersion|kv-(key|range|watch|txn|lease|keep)|"
    r"coldLeft\"|op/config|instances\.(heartbeat|deregister)|TEASELHOLD_BOOT")


def sources(*folders):
    for folder in folders:
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix in (".h", ".cpp", ".proto", ".py"):
                yield path.relative_to(ROOT), path.read_text().splitlines()


def check_adapter():
    violations = []
    for path, lines in sources("platform"):
        for number, line in enumerate(lines, 1):
            match = INCLUDE.match(line)
            if match and match.group(1) not in ADAPTER_ALLOWED:
                violations.append(f"{path}:{number}: the adapter must not "
                                  f"include {match.group(1)}")
    for path, lines in sources("Libraries", "Services", "Utilities"):
        for number, line in enumerate(lines, 1):
            if PLATFORM_WORDS.search(line):
                violations.append(f"{path}:{number}: a word of the platform")
            match = INCLUDE.match(line)
            if (match and match.group(1) == "platform"
                    and str(path) not in ADAPTER_USERS):
                violations.append(f"{path}:{number}: only "
                                  f"{', '.join(ADAPTER_USERS)} may include "
                                  "the adapter")
    return violations


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
    violations += check_adapter()
    print("\n".join(violations))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
