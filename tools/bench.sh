#!/usr/bin/env bash
# Builds and runs all benches in bench/, each a program named after its source, and prints one JSON object per line.
# usage: tools/bench.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
benches=(placement_bench membership_bench dispatch_bench store_bench)

cmake -S . -B "$build" -G Ninja >&2
for bench in "${benches[@]}"; do
  if [ -e "bench/$bench.cc" ]; then
    cmake --build "$build" --target "$bench" -j "${BENCH_JOBS:-3}" >&2
    "$build/$bench"
  else
    echo "$bench: no source in bench/, not run" >&2
  fi
done
