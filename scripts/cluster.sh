# Functions that start, stop and query a small cluster of real processes on 127.0.0.1.
#
# Sourced by scripts/demo.sh, scripts/slopes.sh and the tests in tests/fault and tests/cli:
#   source scripts/cluster.sh
#   cluster_init mezcla          # or zinsverbund; reserves a free block of ports
#   cluster_start 3 2            # log, 3 workers, 3 services, 2 entries, 3 agents; waits for ready
# All started processes are killed when the script exits. Every wait is a bounded poll.
# shellcheck shell=bash disable=SC2034

BUILD=${BUILD:-build}
CLUSTER_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case "$BUILD" in /*) ;; *) BUILD=$CLUSTER_ROOT/$BUILD ;; esac
BIN=$BUILD/bin
CTL=$BIN/acaciactl

# Offsets of ports within the block that starts at CLUSTER_BASE.
PORT_LOG=0
PORT_WORKER=100
PORT_SERVICE=500
PORT_ENTRY_HTTP=20
PORT_ENTRY_WIRE=40
PORT_AGENT_HTTP=900
PORT_BLOCK=1300

POLL_S=0.05

declare -A PID=()     # process ids by name: log, worker-1, service-1, entry-1, agent-1
CLUSTER_ENTRIES=2     # entries in the settings of agents and peers
ENTRY_EXTRA=""        # settings lines added to every entry
AGENT_EXTRA=""        # settings lines added to every agent
LOG_ARGS=()           # arguments added to standin-log
WORKER_ARGS=(--usage-lag-ms 200) # arguments added to every standin-worker
SERVICE_ARGS=()       # arguments added to every standin-service

say() { printf '%s\n' "$*"; }

# The message comes last: reports show the end of a test's output.
fail() {
  cluster_show_logs >&2
  printf 'FAILED: %s\n' "$*" >&2
  exit 1
}

# check DESCRIPTION COMMAND...: runs the command; its failure ends the script.
check() {
  local what=$1
  shift
  if "$@"; then say "ok: $what"; else fail "$what"; fi
}

# check_equal DESCRIPTION EXPECTED ACTUAL: a difference ends the script.
check_equal() {
  if [ "$2" = "$3" ]; then say "ok: $1"; else fail "$1: expected '$2', got '$3'"; fi
}

# wait_until SECONDS COMMAND...: polls until the command succeeds; its output is discarded.
wait_until() {
  local limit_ms=$(($1 * 1000)) start_ms
  start_ms=$(now_ms)
  shift
  until "$@" >/dev/null 2>&1; do
    [ $(($(now_ms) - start_ms)) -lt "$limit_ms" ] || return 1
    sleep "$POLL_S"
  done
}

# wait_for SECONDS DESCRIPTION COMMAND...: like wait_until, but a timeout ends the script.
wait_for() {
  local limit=$1 what=$2 start_ms
  shift 2
  start_ms=$(now_ms)
  wait_until "$limit" "$@" || fail "$what (not within $limit s)"
  say "ok: $what ($(($(now_ms) - start_ms)) ms)"
}

now_ms() { date +%s%3N; }

block_is_free() {
  local port
  for port in "$PORT_LOG" $((PORT_WORKER + 1)) $((PORT_SERVICE + 1)) $((PORT_ENTRY_HTTP + 1)) \
    $((PORT_ENTRY_WIRE + 1)) $((PORT_AGENT_HTTP + 1)); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$(($1 + port))") 2>/dev/null; then return 1; fi
  done
}

# A block is reserved by a directory that holds the process id of its owner; it is taken over when that
# process has exited, or did not write its id within a minute.
reserve_block() {
  local lock=/tmp/acacia-ports-$1 owner
  if ! mkdir "$lock" 2>/dev/null; then
    owner=$(cat "$lock/pid" 2>/dev/null)
    if [ -n "$owner" ]; then
      ! kill -0 "$owner" 2>/dev/null || return 1
    else
      [ -n "$(find "$lock" -maxdepth 0 -mmin +1 2>/dev/null)" ] || return 1
    fi
  fi
  echo $$ >"$lock/pid"
  block_is_free "$1"
}

choose_base() {
  local try base
  for ((try = 0; try < 40; try++)); do
    base=$((10000 + (($$ + try * 7) % 16) * PORT_BLOCK))
    if reserve_block "$base"; then
      CLUSTER_BASE=$base
      return 0
    fi
  done
  return 1
}

cluster_init() {
  DEPLOYMENT=${1:-mezcla}
  case "$DEPLOYMENT" in
    mezcla)
      DATA_CENTRES=(quito-norte quito-sur cuenca ambato)
      SERVICE=mixdesk
      CPU_MILLI=16000
      MEMORY_MB=61440
      LABEL_FIRST="disk=fast"
      ;;
    zinsverbund)
      DATA_CENTRES=(wien-ost wien-west st-poelten salzburg)
      SERVICE=zinspost
      CPU_MILLI=32000
      MEMORY_MB=128000
      LABEL_FIRST="ledger=near"
      ;;
    *)
      echo "unknown deployment '$DEPLOYMENT': expected mezcla or zinsverbund" >&2
      exit 2
      ;;
  esac
  TENANT=${TENANT:-$DEPLOYMENT}
  for binary in acaciactl acacia-entry acacia-agent standin-log standin-worker standin-service; do
    [ -x "$BIN/$binary" ] || { echo "$BIN/$binary is missing: run make" >&2; exit 1; }
  done
  CLUSTER_DIR=$(mktemp -d)
  trap cluster_cleanup EXIT
  trap 'exit 130' INT TERM
  if [ -z "${CLUSTER_BASE:-}" ]; then choose_base || fail "no free block of ports"; fi
}

cluster_cleanup() {
  local status=$? pid
  trap - EXIT ERR
  # With errexit a process that was killed here would set the exit code.
  set +e
  for pid in "${PID[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  for pid in "${PID[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "/tmp/acacia-ports-${CLUSTER_BASE:-none}"
  if [ "$status" -eq 0 ] || [ -z "${CLUSTER_KEEP:-}" ]; then
    rm -rf "$CLUSTER_DIR"
  else
    echo "logs are in $CLUSTER_DIR" >&2
  fi
  exit "$status"
}

cluster_show_logs() {
  local file
  for file in "$CLUSTER_DIR"/*.log; do
    [ -s "$file" ] || continue
    echo "--- $(basename "$file")"
    tail -n "${CLUSTER_LOG_LINES:-12}" "$file"
  done
}

port_of() {
  local name=$1 kind=${1%-*} index=${1##*-}
  case "$kind" in
    log) echo $((CLUSTER_BASE + PORT_LOG)) ;;
    worker) echo $((CLUSTER_BASE + PORT_WORKER + index)) ;;
    service) echo $((CLUSTER_BASE + PORT_SERVICE + index)) ;;
    entry) echo $((CLUSTER_BASE + PORT_ENTRY_HTTP + index)) ;;
    agent) echo $((CLUSTER_BASE + PORT_AGENT_HTTP + index)) ;;
    *) fail "no such kind of process: $name" ;;
  esac
}

url_of() { echo "http://127.0.0.1:$(port_of "$1")"; }
wire_of() { echo "tcp://127.0.0.1:$((CLUSTER_BASE + PORT_ENTRY_WIRE + $1))"; }

# entry_list INDEX: names and wire addresses of all entries except this one, as a TOML array.
entry_list() {
  local list="" i
  for ((i = 1; i <= CLUSTER_ENTRIES; i++)); do
    [ "$i" -eq "$1" ] || list+="${list:+, }\"entry-$i=$(wire_of "$i")\""
  done
  echo "[$list]"
}

data_centre_of() { echo "${DATA_CENTRES[$((($1 - 1) % ${#DATA_CENTRES[@]}))]}"; }

# launch NAME COMMAND...: starts the command in the background with its output in NAME.log.
launch() {
  local name=$1
  shift
  "$@" >>"$CLUSTER_DIR/$name.log" 2>&1 &
  PID[$name]=$!
}

start_log() {
  launch log "$BIN/standin-log" --port "$(port_of log)" "${LOG_ARGS[@]+"${LOG_ARGS[@]}"}"
}

start_worker() {
  launch "worker-$1" "$BIN/standin-worker" --port "$(port_of "worker-$1")" \
    --cpu-milli "${WORKER_CPU_MILLI:-$CPU_MILLI}" --memory-mb "$MEMORY_MB" --accelerators 0 \
    "${WORKER_ARGS[@]+"${WORKER_ARGS[@]}"}"
}

start_service() {
  launch "service-$1" "$BIN/standin-service" --port "$(port_of "service-$1")" --slots 8 \
    --connections 64 --service-ms "${SERVICE_MS:-20}" --name "$SERVICE" \
    "${SERVICE_ARGS[@]+"${SERVICE_ARGS[@]}"}"
}

start_entry() {
  local file=$CLUSTER_DIR/entry-$1.toml
  cat >"$file" <<TOML
name = "entry-$1"
data_centre = "$(data_centre_of "$1")"
http.host = "127.0.0.1"
http.port = $(port_of "entry-$1")
wire.listen = "$(wire_of "$1")"
wire.peers = $(entry_list "$1")
log.host = "127.0.0.1"
log.port = $(port_of log)
$ENTRY_EXTRA
TOML
  launch "entry-$1" "$BIN/acacia-entry" --config "$file"
}

# Each instance has its own group label and rack; the first also has the label that the example documents
# select.
start_agent() {
  local file=$CLUSTER_DIR/agent-$1.toml labels="[\"group=g$1\"]"
  [ "$1" -ne 1 ] || labels="[\"group=g$1\", \"$LABEL_FIRST\"]"
  cat >"$file" <<TOML
name = "agent-$1"
data_centre = "$(data_centre_of "$1")"
rack = "rack-$1"
labels = $labels
entries = $(entry_list 0)
http.host = "127.0.0.1"
http.port = $(port_of "agent-$1")
worker.host = "127.0.0.1"
worker.port = $(port_of "worker-$1")
endpoint.service = "$SERVICE"
endpoint.host = "127.0.0.1"
endpoint.port = $(port_of "service-$1")
$AGENT_EXTRA
TOML
  launch "agent-$1" "$BIN/acacia-agent" --config "$file"
}

is_ready() { curl -fsS -m 2 -o /dev/null "$(url_of "$1")/readyz"; }
is_listening() { (exec 3<>"/dev/tcp/127.0.0.1/$(port_of "$1")") 2>/dev/null; }
is_running() { kill -0 "${PID[$1]}" 2>/dev/null; }
has_exited() { ! is_running "$1"; }

# cluster_start INSTANCES ENTRIES: starts all processes and waits until they are ready.
cluster_start() {
  local instances=$1 i
  CLUSTER_ENTRIES=$2
  start_log
  for ((i = 1; i <= instances; i++)); do
    start_worker "$i"
    start_service "$i"
  done
  wait_for 10 "log stand-in listens" is_listening log
  for ((i = 1; i <= CLUSTER_ENTRIES; i++)); do start_entry "$i"; done
  for ((i = 1; i <= instances; i++)); do start_agent "$i"; done
  for ((i = 1; i <= CLUSTER_ENTRIES; i++)); do
    wait_for 20 "entry-$i is ready" is_ready "entry-$i"
  done
  for ((i = 1; i <= instances; i++)); do
    wait_for 20 "agent-$i is ready" is_ready "agent-$i"
  done
}

# Signals to a process by name. terminate sends SIGTERM; kill_now sends SIGKILL and waits for the exit.
terminate() { kill -TERM "${PID[$1]}"; }
kill_now() {
  kill -KILL "${PID[$1]}" 2>/dev/null
  wait "${PID[$1]}" 2>/dev/null
  unset "PID[$1]"
}
pause() { kill -STOP "${PID[$1]}"; }
resume() { kill -CONT "${PID[$1]}"; }

# ctl COMMAND...: runs acaciactl with all entries of the cluster.
ctl() {
  local entries=() i
  for ((i = 1; i <= CLUSTER_ENTRIES; i++)); do entries+=(--entry "$(url_of "entry-$i")"); done
  "$CTL" "${entries[@]}" "$@"
}

# call ENTRY PATH [curl arguments]: sends a request as a caller; prints the body of the answer.
call() {
  local entry=$1 path=$2
  shift 2
  curl -sS -m 30 -X POST -H "Acacia-Tenant: $TENANT" "$@" "$(url_of "$entry")/v1/call/$SERVICE/$path"
}

# call_full ENTRY PATH...: like call, but prints the headers before the body.
call_full() {
  local entry=$1 path=$2
  shift 2
  call "$entry" "$path" -i "$@" | tr -d '\r'
}

# call_status ENTRY PATH...: like call, but prints only the HTTP status.
call_status() {
  local entry=$1 path=$2
  shift 2
  call "$entry" "$path" -o /dev/null -w '%{http_code}' "$@"
}

# header NAME <<<ANSWER: prints a header's value from the output of call_full.
header() { sed -n "/^\$/q;s/^$1: //Ip" | head -n 1; }
body_of() { sed '1,/^$/d'; }

# once_args KEY: curl arguments with the headers of an at-most-once request.
once_args() {
  printf '%s\n' -H "Acacia-Kind: once" -H "Idempotency-Key: $1" -H "Acacia-Date-Ms: $(now_ms)"
}

# runs_of KEY: number of runs of requests with this key, over all reachable endpoints.
runs_of() {
  local total=0 n name
  for name in "${!PID[@]}"; do
    [ "${name%-*}" = service ] || continue
    n=$(curl -fsS -m 5 "$(url_of "$name")/runs?tenant=$TENANT&key=$1" | jq -r '.runs')
    [ -n "$n" ] || continue
    total=$((total + n))
  done
  echo "$total"
}

# fault NAME JSON: sets the fault mode of a stand-in.
fault() {
  curl -fsS -m 5 -o /dev/null -X POST -d "$2" "$(url_of "$1")/fault" || fail "fault $2 at $1"
}

# metric PROCESS NAME: sum of a metric over its labels, 0 when it does not exist.
metric() {
  curl -fsS -m 5 "$(url_of "$1")/metrics" \
    | awk -v name="$2" '{ split($1, part, "{"); if (part[1] == name) sum += $2 } END { print sum + 0 }'
}

# history: all attempts that live workers have started, one JSON object per line.
history() {
  local name
  for name in "${!PID[@]}"; do
    [ "${name%-*}" = worker ] || continue
    curl -fsS -m 5 "$(url_of "$name")/v1/history" \
      | jq -c --arg worker "$name" \
        '.tasks[] | . as $task | .attempts[] | . + {worker: $worker, job: $task.job, index: $task.index}'
  done
}

# overlaps: number of pairs of attempts of one task that ran at the same time, on any workers.
overlaps() {
  history | jq -s '
    [group_by([.job, .index])[] | sort_by(.start_ms) | . as $a
     | range(0; length - 1) as $i
     | select($a[$i].end_ms == null or $a[$i].end_ms > $a[$i + 1].start_ms)] | length'
}

# done_twice: number of tasks with more than one attempt that ended as done.
done_twice() {
  history | jq -s '[group_by([.job, .index])[] | select(map(select(.state == "done")) | length > 1)]
                   | length'
}

# config_version PROCESS: version of the configuration in force in an entry or agent.
config_version() {
  case "$1" in
    entry-*) curl -fsS -m 5 "$(url_of "$1")/v1/config" | jq -r .version ;;
    *) metric "$1" acacia_agent_config_version ;;
  esac
}

has_config() { [ "$(config_version "$1")" -ge "$2" ]; }
