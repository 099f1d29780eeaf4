#!/usr/bin/env bash
# Measures real processes on loopback: idle cost of each role, latency that the path adds to a direct call, and task starts a
# second. Prints one JSON object a line. Other work on the machine falsifies the figures.
#
# usage: tools/measure.sh [idle|latency|throughput]...
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD=${BUILD:-$PWD/build}
WORK=$(mktemp -d)
ENTRIES=${ENTRIES:-2}
AGENTS=${AGENTS:-6}
BASE_PORT=${BASE_PORT:-25000}
source tools/fleet.sh
trap 'stop_fleet; rm -rf "$WORK"' EXIT

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${PIDS[$1]}/stat"; }
rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"; }
metric() {
  exec 3<>"/dev/tcp/127.0.0.1/$1"
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
  awk -v name="comfreyshift_$2" '$1 == name { printf "%d", $2 }' <&3
  exec 3>&-
}

measure_idle() {
  local name port ticks sent received
  for name in entry-1 agent-1; do
    port=$([ "$name" = entry-1 ] && entry_operator_port 1 || agent_operator_port 1)
    ticks=$(cpu_ticks "$name")
    sent=$(metric "$port" datagram_bytes_sent)
    received=$(metric "$port" datagram_bytes_received)
    sleep 20
    printf '{"measure":"idle","role":"%s","members":%s,"rss_kb":%s,"cpu_ms_per_s":%s,"datagram_bytes_per_s":%s}\n' \
      "${name%-1}" "$((ENTRIES + AGENTS))" "$(rss_kb "$name")" \
      "$(awk -v t="$(($(cpu_ticks "$name") - ticks))" -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.2f", t * 1000 / hz / 20 }')" \
      "$((($(metric "$port" datagram_bytes_sent) - sent + $(metric "$port" datagram_bytes_received) - received) / 20))"
  done
}

measure_latency() {
  "$BUILD/direct_bench" "http://127.0.0.1:$(target_port 1)" 50 20
  "$BUILD/comfreyshift" load --entry "http://127.0.0.1:$(entry_http_port 1)" --token-file "$WORK/client.token" \
    --request visit --payload '{"run_ms": 0}' --rate 50 --seconds 20 --seed 11 --json
}

measure_throughput() {
  local rate
  for rate in 30 60 90; do
    "$BUILD/comfreyshift" load --entry "http://127.0.0.1:$(entry_http_port 1)" \
      --more-entries "http://127.0.0.1:$(entry_http_port 2)" --token-file "$WORK/client.token" \
      --request visit --payload '{"run_ms": 2}' --tasks 100 --rate "$rate" --seconds 10 --seed 12 --json
  done
}

if [ "$#" -eq 0 ]; then
  set -- idle latency throughput
fi
start_fleet
wait_for 10 operator 1 inventory apply "$WORK/inventory.ini"
sleep 3
for part in "$@"; do
  "measure_$part"
done
