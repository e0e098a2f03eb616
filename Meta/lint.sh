#!/usr/bin/env bash
# Checks format, layers and lint. Usage: Meta/lint.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-Build}"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v Generated)
clang-format --dry-run --Werror "${sources[@]}"
python3 Meta/check_layers.py
# Clang cannot read GCC's precompiled headers, so the linter goes without them.
mkdir -p "$build/lint"
sed -E 's/-Winvalid-pch -include [^ ]+//' "$build/compile_commands.json" \
  >"$build/lint/compile_commands.json"
# A clean result is cached under the hash of the preprocessed source, because
# a full run takes minutes.
export TEASELHOLD_LINT_CACHE="${TEASELHOLD_LINT_CACHE:-$HOME/.cache/teaselhold-lint}"
mkdir -p "$TEASELHOLD_LINT_CACHE"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 1 python3 Meta/tidy_file.py "$build/lint"
echo "lint: ${#sources[@]} files clean"
