# Functions that start and stop a small fleet of real processes on loopback: the store stand-in, target stand-ins,
# entries and agents. Sourced by tools/demo.sh and the tests of real processes.
#
# Before: BUILD (folder of the programs) and WORK (a folder for settings, logs and records) are set.
# After start_fleet: PIDS holds the id of each process by its name.

declare -A PIDS

BASE_PORT=${BASE_PORT:-21000}
store_port() { echo $((BASE_PORT)); }
entry_http_port() { echo $((BASE_PORT + 10 * $1 + 1)); }
entry_operator_port() { echo $((BASE_PORT + 10 * $1 + 2)); }
entry_peer_port() { echo $((BASE_PORT + 10 * $1 + 3)); }
agent_operator_port() { echo $((BASE_PORT + 200 + 10 * $1 + 2)); }
agent_peer_port() { echo $((BASE_PORT + 200 + 10 * $1 + 3)); }
target_port() { echo $((BASE_PORT + 200 + 10 * $1 + 4)); }

ZONES=(medina sakiet thyna chihia)
zone_of() { echo "${ZONES[$((($1 - 1) % ${#ZONES[@]}))]}"; }
rack_of() { echo "rack-$((($1 - 1) / 3 + 1))-$(zone_of "$1")"; }

# Starts a process in the background with its output in files, and keeps its id.
launch() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PIDS[$name]=$!
}

start_store() {
  launch store "$BUILD/store_standin" "$(store_port)"
}

start_target() {
  local i=$1
  shift
  launch "target-$i" "$BUILD/target_standin" --port "$(target_port "$i")" --record-file "$WORK/target-$i.records" "$@"
}

seeds() {
  local list=() i
  for ((i = 1; i <= ENTRIES; ++i)); do
    list+=("127.0.0.1:$(entry_peer_port "$i")")
  done
  local IFS=,
  echo "${list[*]}"
}

write_entry_settings() {
  local i=$1
  cat >"$WORK/entry-$i.ini" <<SETTINGS
[process]
role = entry
name = entry-$i
zone = $(zone_of "$i")
rack = rack-entry-$i
worker = worker-entry-$i
log_level = ${LOG_LEVEL:-info}

[listen]
http = 127.0.0.1:$(entry_http_port "$i")
operator_http = 127.0.0.1:$(entry_operator_port "$i")
rpc = 127.0.0.1:$(entry_peer_port "$i")
datagram = 127.0.0.1:$(entry_peer_port "$i")

[fleet]
key_file = $WORK/fleet.key
seeds = $(seeds)

[store]
endpoints = 127.0.0.1:$(store_port)

[operators]
token_file = $WORK/operator.token
SETTINGS
}

write_agent_settings() {
  local i=$1
  cat >"$WORK/agent-$i.ini" <<SETTINGS
[process]
role = agent
name = agent-$i
zone = $(zone_of "$i")
rack = $(rack_of "$i")
worker = worker-$i
log_level = ${LOG_LEVEL:-info}

[listen]
operator_http = 127.0.0.1:$(agent_operator_port "$i")
rpc = 127.0.0.1:$(agent_peer_port "$i")
datagram = 127.0.0.1:$(agent_peer_port "$i")

[fleet]
key_file = $WORK/fleet.key
seeds = $(seeds)

[target]
name = runner-$i
address = 127.0.0.1:$(target_port "$i")
slots = ${SLOTS:-8}
connections = 64

[operators]
token_file = $WORK/operator.token
SETTINGS
}

start_entry() {
  write_entry_settings "$1"
  launch "entry-$1" "$BUILD/comfreyshift" entry --config "$WORK/entry-$1.ini"
}

start_agent() {
  write_agent_settings "$1"
  launch "agent-$1" "$BUILD/comfreyshift" agent --config "$WORK/agent-$1.ini"
}

write_inventory() {
  local i zone
  {
    for zone in "${ZONES[@]}"; do
      printf '[zone %s]\nregion = sfax\nopen = true\n\n' "$zone"
    done
    for ((i = 1; i <= AGENTS; ++i)); do
      printf '[target runner-%s]\nzone = %s\nslots = %s\nconnections = 64\n\n' "$i" "$(zone_of "$i")" "${SLOTS:-8}"
    done
    printf '[client census]\ntoken_sha256 = %s\n\n' "$(printf '%s' "$CLIENT_TOKEN" | sha256sum | cut -d' ' -f1)"
    printf '[request visit]\nidempotent = true\n\n[request assign]\nidempotent = false\n\n'
    printf '[rule census-all]\nclient = census\ntargets = *\n'
  } >"$WORK/inventory.ini"
}

write_secrets() {
  head -c 32 /dev/urandom | sha256sum | cut -d' ' -f1 >"$WORK/fleet.key"
  printf 'operator-token-of-this-run\n' >"$WORK/operator.token"
  CLIENT_TOKEN=client-token-of-this-run
  printf '%s\n' "$CLIENT_TOKEN" >"$WORK/client.token"
}

# Runs a command of the program against an entry's operator address.
operator() {
  local i=$1
  shift
  "$BUILD/comfreyshift" "$@" --entry "http://127.0.0.1:$(entry_operator_port "$i")" --token-file "$WORK/operator.token"
}

# Runs a caller's command against an entry.
caller() {
  local i=$1
  shift
  "$BUILD/comfreyshift" "$@" --entry "http://127.0.0.1:$(entry_http_port "$i")" --token-file "$WORK/client.token"
}

# Waits until a command succeeds, for at most the given number of seconds.
wait_for() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "timed out: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

is_ready() {
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
  head -n 1 <&3 | grep -q ' 200 '
}

# Starts everything and waits until all processes take work.
start_fleet() {
  local i
  write_secrets
  write_inventory
  start_store
  for ((i = 1; i <= AGENTS; ++i)); do
    start_target "$i"
  done
  for ((i = 1; i <= ENTRIES; ++i)); do
    start_entry "$i"
  done
  for ((i = 1; i <= AGENTS; ++i)); do
    start_agent "$i"
  done
  for ((i = 1; i <= ENTRIES; ++i)); do
    wait_for 30 is_ready "$(entry_operator_port "$i")"
  done
  for ((i = 1; i <= AGENTS; ++i)); do
    wait_for 30 is_ready "$(agent_operator_port "$i")"
  done
}

# Stops one process by its id and waits for its end.
stop_process() {
  local id=${PIDS[$1]:-}
  [ -n "$id" ] || return 0
  kill "-${2:-TERM}" "$id" 2>/dev/null || true
  wait "$id" 2>/dev/null || true
  unset "PIDS[$1]"
}

stop_fleet() {
  local name
  for name in "${!PIDS[@]}"; do
    case $name in agent-* | entry-*) kill -CONT "${PIDS[$name]}" 2>/dev/null || true ;; esac
    case $name in agent-* | entry-*) kill -TERM "${PIDS[$name]}" 2>/dev/null || true ;; esac
  done
  for name in "${!PIDS[@]}"; do
    case $name in agent-* | entry-*) stop_process "$name" ;; esac
  done
  for name in "${!PIDS[@]}"; do
    stop_process "$name"
  done
}

# Prints "STARTS DUPLICATES" over all targets' own records.
count_starts() {
  cat "$WORK"/target-*.records 2>/dev/null | sed -E 's/.*"task":"([^"]*)".*/\1/' | sort | uniq -c |
    awk '{ starts += $1; if ($1 > 1) ++twice } END { print starts + 0, twice + 0 }'
}
