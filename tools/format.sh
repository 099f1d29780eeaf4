#!/usr/bin/env bash
# Formats all sources in place, or with --check only lists what differs. Generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '\.capnp\.' | xargs ls -d 2>/dev/null)
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
