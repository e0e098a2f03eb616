#!/usr/bin/env python3
"""Runs clang-tidy on one file; skips it if the same input was clean before."""
import hashlib
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Clang 14 needs these to read Asio's coroutines with GCC's standard library.
COROUTINE_ARGUMENTS = [f"--extra-arg={argument}" for argument in (
    "-fcoroutines-ts", "-DBOOST_ASIO_HAS_CO_AWAIT=1",
    "-DBOOST_ASIO_HAS_STD_COROUTINE=1")]
PROJECT_INCLUDE = re.compile(r'#include\s+"([^"]+)"')


def project_inputs(path, seen):
    """Collects the project files that path includes, directly or not."""
    if path in seen or not path.exists():
        return
    seen.add(path)
    for name in PROJECT_INCLUDE.findall(path.read_text()):
        for base in (ROOT / "Libraries", ROOT, path.parent,
                     ROOT / "Libraries/Protocol/Generated"):
            if (base / name).exists():
                project_inputs(base / name, seen)
                break


def fingerprint(source):
    seen = set()
    project_inputs(source, seen)
    digest = hashlib.sha256()
    for path in sorted(seen) + [ROOT / ".clang-tidy"]:
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes())
    digest.update(subprocess.check_output(["clang-tidy", "--version"]))
    return digest.hexdigest()


def main():
    build, source = sys.argv[1], (ROOT / sys.argv[2]).resolve()
    cache = pathlib.Path(os.environ["TEASELHOLD_LINT_CACHE"])
    entry = cache / fingerprint(source)
    if entry.exists():
        return 0
    result = subprocess.run(["clang-tidy", "-quiet", "-p", build,
                             *COROUTINE_ARGUMENTS, str(source)],
                            stdout=subprocess.PIPE, stderr=subprocess.PIPE,
                            text=True, check=False)
    if result.returncode != 0:
        print(result.stdout)
        print("\n".join(line for line in result.stderr.splitlines()
                        if "error:" in line))
        return 1
    entry.touch()
    return 0


if __name__ == "__main__":
    sys.exit(main())
