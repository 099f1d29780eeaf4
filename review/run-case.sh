#!/usr/bin/env bash
# Runs the script of one case: run-case.sh N. The platform's binary is that of
# deploy/system.toml's build; COMFREYSHIFT_PROGRAM may name another.
set -u
review="$(cd "$(dirname "$0")" && pwd)"
export COMFREYSHIFT_PROGRAM="${COMFREYSHIFT_PROGRAM:-$review/../target/comfreyshift}"
if [ ! -x "$COMFREYSHIFT_PROGRAM" ] || [ ! -x "$review/bin/case-$1" ]; then
  echo "build target/comfreyshift and run review/build.sh first" >&2
  exit 2
fi
cd "$review/$1" || exit 2
exec timeout -k 2 115 "$review/bin/case-$1"
