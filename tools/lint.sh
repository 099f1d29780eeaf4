#!/usr/bin/env bash
# Runs clang-tidy in parallel over all sources, or over those given after the build folder.
# usage: tools/lint.sh [BUILD_DIR [FILE...]]
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
shift || true
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' | grep -v '\.capnp\.')
fi
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build"
