#!/usr/bin/env bash
# Builds and runs all benches in bench/, each a program named after its source, and prints one JSON object per line.
# usage: tools/bench.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
benches=(placement_bench membership_bench dispatch_bench store_bench scheduler_bench)

# Runs of one bench, one set of arguments a line; each run stays below 2 minutes.
runs_of() {
  if [ "$1" = placement_bench ]; then
    printf '%s\n' "--part cost" "--part admission" "--part placement --deployment los-arroyos" \
      "--part placement --deployment sfax"
  else
    echo ""
  fi
}

cmake -S . -B "$build" -G Ninja >&2
for bench in "${benches[@]}"; do
  if [ ! -e "bench/$bench.cc" ]; then
    echo "$bench: no source in bench/, not run" >&2
    continue
  fi
  cmake --build "$build" --target "$bench" -j "${BENCH_JOBS:-3}" >&2
  while read -r -a arguments; do
    "$build/$bench" "${arguments[@]}" </dev/null
  done < <(runs_of "$bench")
done
