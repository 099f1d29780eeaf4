#!/usr/bin/env bash
# usage: run-case-3.sh N
# Runs case N of this review: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. What was sent,
# answered and run stands in review/N/record.txt. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/.."

program=build-review-3/case-$1
if [ ! -x target/comfreyshift ] || [ ! -x "$program" ]; then
  echo "build the program as deploy/system.toml says and run review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# The processes that the case starts end with it.
timeout --signal=KILL 115 "$program" target/comfreyshift "$folder" "review/$1/record.txt"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
