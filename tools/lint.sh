#!/usr/bin/env bash
# Runs clang-tidy in parallel over all sources, or over those given after the build folder. A file that passed is not checked
# again until it, any header of the project, the settings or an installed package changes.
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

cache=${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/comfreyshift-lint}
mkdir -p "$cache"
shared=$( (git ls-files --cached --others --exclude-standard '*.h' | sort | xargs sha256sum
  sha256sum .clang-tidy CMakeLists.txt cmake/*.cmake
  clang-tidy --version
  dpkg-query -W) | sha256sum | cut -d ' ' -f 1)

lint_one() {
  local stamp
  stamp="$cache/$(echo "$shared $1 $(sha256sum <"$1")" | sha256sum | cut -d ' ' -f 1)"
  if [ ! -e "$stamp" ]; then
    clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$1"
    touch "$stamp"
  fi
}
export -f lint_one
export build cache shared
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 bash -euc 'lint_one "$1"' lint
