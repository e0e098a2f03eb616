#!/usr/bin/env bash
# The project's commands: run, test, measure. See README.md.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${TEASELHOLD_BUILD:-Build}"

install_packages() {
  local missing=()
  while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done <Meta/packages.txt
  [ "${#missing[@]}" -eq 0 ] && return
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
}

build_all() {
  # The same cache serves every checkout of the project.
  export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
  export CCACHE_SLOPPINESS=pch_defines,time_macros
  cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
  cmake --build "$build" | tail -n 1
}

run_tests() {
  # The simulated tests take as long on a busy machine as their processor time,
  # so the lint runs beside them; all others have the machine to themselves.
  local lint
  Meta/lint.sh "$build" &
  lint=$!
  ctest --test-dir "$build" --output-on-failure -j "$(nproc)" -L simulated || {
    wait "$lint" || true
    return 1
  }
  wait "$lint"
  ctest --test-dir "$build" --output-on-failure -j 2 -LE simulated
  Meta/known_red.sh "$build"
}

case "${1:-}" in
  run)
    install_packages
    build_all
    exec python3 Meta/run_demo.py "$build"
    ;;
  test)
    install_packages
    build_all
    run_tests
    ;;
  measure)
    shift
    install_packages >&2
    build_all >&2
    exec python3 Meta/measure.py "$build" "$@"
    ;;
  *)
    echo "usage: Meta/teaselhold.sh run | test | measure [--nodes N]" >&2
    exit 2
    ;;
esac
