#!/usr/bin/env bash
# Runs clang-tidy in parallel over all sources, or over those given after the build folder. A file that passed is not checked
# again until it, a file of the project that it includes, the settings or an installed package changes.
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
shared=$( (sha256sum .clang-tidy
  clang-tidy --version
  dpkg-query -W) | sha256sum | cut -d ' ' -f 1)

# The project's own files that each source includes, as the build has found them: SOURCE FILE a line.
includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
ninja -C "$build" -t deps 2>/dev/null |
  awk '/^[^ ]/ { source = "" } /^    \.\.\// { file = substr($1, 4); if (source == "") source = file; print source, file }' |
  sort -u >"$includes"

lint_one() {
  local stamp
  mapfile -t parts < <(awk -v source="$1" '$1 == source { print $2 }' "$includes")
  # A source that has not been built has an unknown set of headers and is always checked.
  stamp="$cache/$( (echo "$shared $1"; sha256sum "$1" "${parts[@]}") | sha256sum | cut -d ' ' -f 1)"
  if [ "${#parts[@]}" -eq 0 ] || [ ! -e "$stamp" ]; then
    clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$1"
    touch "$stamp"
  fi
}
export -f lint_one
export build cache shared includes
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 bash -euc 'lint_one "$1"' lint
