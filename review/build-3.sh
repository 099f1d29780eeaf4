#!/usr/bin/env bash
# Builds the stand-ins and the cases of review/11 to review/15 into build-review-3/. The build of deploy/system.toml comes
# before. Needs g++ and nlohmann-json3-dev, which deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."

sources=review/standins-3
output=build-review-3
mkdir -p "$output"
compile=(g++ -std=c++20 -O2 -Wall -Wextra -pthread)

shared=()
for name in http store runner fleet; do
  "${compile[@]}" -c -o "$output/$name.o" "$sources/$name.cpp" &
  shared+=("$output/$name.o")
done
wait
for source in review/1[1-5]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${compile[@]}" -o "$output/case-$number" "$source" "${shared[@]}" &
done
wait
for source in review/1[1-5]/case.cpp; do
  test -x "$output/case-$(basename "$(dirname "$source")")"
done
