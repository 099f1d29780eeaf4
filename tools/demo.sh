#!/usr/bin/env bash
# Builds everything, starts a small fleet as separate processes on loopback, runs real jobs through the command line and
# counts the starts in the targets' own records.
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD=${BUILD:-$PWD/build}
WORK=$(mktemp -d)
ENTRIES=2
AGENTS=4

echo "== packages and build"
tools/packages.sh
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD" --target comfreyshift store_standin target_standin | tail -n 1

source tools/fleet.sh
cleanup() {
  status=$?
  stop_fleet
  if [ "$status" -eq 0 ]; then
    rm -rf "$WORK"
  else
    echo "logs and records are in $WORK" >&2
  fi
}
trap cleanup EXIT

echo "== start: 1 store stand-in, $AGENTS target stand-ins, $ENTRIES entries, $AGENTS agents"
start_fleet
wait_for 10 operator 1 inventory apply "$WORK/inventory.ini"
sleep 2

jobs=0
tasks=0
submit() {
  caller "$1" submit --request visit --tasks "$2" --payload '{"run_ms": 5}' --key "$3" --quiet
}
new_key() {
  "$BUILD/comfreyshift" new-key
}

echo "== jobs of 1, 10 and 440 tasks, each submitted again under its key at the other entry"
submit 1 1 "$(new_key)"
jobs=1
tasks=1
for size in 1 10 440; do
  key=$(new_key)
  submit 1 "$size" "$key"
  submit 2 "$size" "$key"
  jobs=$((jobs + 1))
  tasks=$((tasks + size))
done

operator 1 status
stop_fleet
read -r starts twice < <(count_starts)
if [ "$starts" -ne "$tasks" ] || [ "$twice" -ne 0 ]; then
  echo "the targets recorded $starts starts, $twice tasks started twice; expected $tasks starts" >&2
  exit 1
fi
echo "demo: $jobs jobs complete, $starts tasks, $twice started twice"
