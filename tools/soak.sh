#!/usr/bin/env bash
# Soaks the real program: tools/soak.sh SEED [COUNT] plays the seeds SEED, SEED + 1, ... and, with a count of 0, those in
# tools/soak/seeds.txt. Build first (.ci/run or cmake --build build --target soak). Timelines go to $BUILD_DIR/soak-logs/.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
jobs=${SOAK_JOBS:-3}
seed=${1:?usage: tools/soak.sh SEED [COUNT]}
count=${2:-1}
logs=$build/soak-logs
mkdir -p "$logs"

if [ "$count" = 0 ]; then
  mapfile -t seeds < <(grep -oE '^[0-9]+' tools/soak/seeds.txt || true)
else
  mapfile -t seeds < <(seq "$seed" $((seed + count - 1)))
fi

# Each soak has 30 ports of its own, by its place in the list.
number=0
for seed in "${seeds[@]}"; do
  echo "$seed $((21000 + 30 * (number % 200)))"
  number=$((number + 1))
done | xargs -r -P "$jobs" -L 1 sh -c '"$0/soak" "$2" "$3" >"$1/$2.log" 2>&1 || true' "$build" "$logs"

violations=0
for seed in "${seeds[@]}"; do
  if ! tail -n 1 "$logs/$seed.log" | grep -qE ', 0 violations$'; then
    violations=$((violations + 1))
    grep -E 'VIOLATION|, [0-9]+ violations$' "$logs/$seed.log" || echo "seed $seed: no result, see $logs/$seed.log"
  fi
done
echo "soak: ${#seeds[@]} seeds, $violations violations"
[ "$violations" = 0 ]
