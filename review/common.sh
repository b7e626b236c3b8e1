# Common functions of the scripts: a small deployment on loopback addresses of its own, with the
# programs and settings of the deploy file. The sourcing script sets $case_dir and $record.
# shellcheck shell=bash

cd "$case_dir/../.." || exit 2
bin=review/bin
: >"$record"
dir=$(mktemp -d)
# All addresses are 127.$net.KIND.N: 1 the store, 2 runners, 3 side machines, 4 frontends.
# A folder marks a net as taken, for scripts that run at the same time.
for _ in $(seq 200); do
  net=$((20 + RANDOM % 200))
  mkdir "$(dirname "$dir")/review-net-$net" 2>/dev/null && break
  net=
done
[ -n "$net" ] || exit 2
store=127.$net.1.1:8100
host=nony24.example
pids=()
status=2

cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$dir"
  rmdir "$(dirname "$dir")/review-net-$net"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

now_ms() { date +%s%3N; }

note() { echo "$(now_ms) $*" >>"$record"; }

# finish STATUS TEXT: ends the script.
finish() {
  status=$1
  shift
  note "verdict $status: $*"
  echo "$*"
  exit
}

# settings NAME NET_IP FRONT CONTROL APP STORE: what deploy/settings.toml yields.
settings() {
  cat <<TOML
name = "$1"
data_centre = "z1"
ip = "$2"

[internal]
port = 7720
metrics_port = 7721

[callers]
listen = "$3"
ready = "${3:+$2:8167}"

[worker]
listen = "$4"
call = "$5"
lease_max_ms = 10000
gang_timeout_ms = 3000

[store]
address = "$6"

[jobs]
state_s = 120

[limits]
cpu_share = "0.25"
leave_s = "6"
TOML
}

# start_frontend N [STORE]; the process id goes to frontend_pid[N].
frontend_pid=()
start_frontend() {
  local ip=127.$net.4.$1
  settings "frontend-$1" "$ip" "$ip:8161" "" "" "${2:-$store}" >"$dir/frontend-$1.toml"
  target/bin/acacia-scheduler --config "$dir/frontend-$1.toml" >>"$dir/frontend-$1.log" 2>&1 &
  frontend_pid[$1]=$!
  pids+=($!)
}

# start_side N [STORE]
start_side() {
  local ip=127.$net.3.$1
  settings "side-$1" "$ip" "" "$ip:8166" "127.$net.2.$1:8300" "${2:-$store}" >"$dir/side-$1.toml"
  target/bin/acacia-worker --config "$dir/side-$1.toml" >>"$dir/side-$1.log" 2>&1 &
  pids+=($!)
}

# start_standin PROGRAM ARGUMENT...
start_standin() {
  "$bin/$1" "${@:2}" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
}

# put_operator KEY TEXT: writes an operator's record to the store.
put_operator() {
  local size=$((1 + ${#1} + ${#2}))
  {
    printf "\\x$(printf %02x $((size >> 24 & 255)))\\x$(printf %02x $((size >> 16 & 255)))"
    printf "\\x$(printf %02x $((size >> 8 & 255)))\\x$(printf %02x $((size & 255)))"
    printf "\\x$(printf %02x ${#1})%s%s" "$1" "$2"
  } >"$dir/record"
  curl -sf -o /dev/null --data-binary @"$dir/record" "http://$store/log-append?topic=keyed.op&part=0"
}

config='{"version":4,"routes":[{"name":"r-desk","host":"nony24.example","path_prefix":"/lohu930/","service":"desk","priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":1000},{"name":"r-other","host":"vesu11.example","path_prefix":"/tabi07/","service":"desk","priority":0,"max_attempts":4,"stretch":2.0,"target_latency_ms":1000}],"services":[{"name":"desk","enforces_capacity":false}]}'

# start_deployment FRONTENDS RUNNERS [STORE of the frontends]: starts all, waits until it serves.
start_deployment() {
  [ -x target/bin/acacia-scheduler ] && [ -x "$bin/runners" ] || finish 2 "the build is missing"
  start_standin standin-store "$store" 2
  for _ in $(seq 100); do
    curl -s -o /dev/null "http://$store/" && break
    sleep 0.05
  done
  put_operator config "$config" || finish 2 "the store stand-in does not answer"
  start_standin runners "$net" "$2" "$record"
  for i in $(seq "$2"); do start_side "$i"; done
  for i in $(seq "$1"); do start_frontend "$i" "${3:-}"; done
  for _ in $(seq 200); do
    [ "$(cat "$dir"/frontend-*.log | grep -c 'sched worker_found')" -ge "$2" ] && return
    sleep 0.1
  done
  finish 2 "the deployment does not serve"
}

# ask FRONTEND METHOD PATH [BODY] [HOST]: prints the status and the body of the answer, and notes
# both.
ask() {
  local answer
  answer=$(curl -s -m "${client_wait_s:-3}" -X "$2" -H "Host: ${5:-$host}" -H 'Content-Type: application/json' \
    -H 'X-Request-Deadline-Ms: 3000' ${4:+--data-binary "$4"} -w ' %{http_code}' \
    "http://127.$net.4.$1:8161$3")
  answer="${answer##* } ${answer% *}"
  note "client $2 ${5:-$host}$3 at frontend-$1 -> $answer"
  echo "$answer"
}

# new_id: 16 hexadecimal digits.
new_id() { od -An -N8 -tx8 /dev/urandom | tr -d ' '; }

# wait_state ID STATE SECONDS: waits until the job is shown so.
wait_state() {
  local end=$(($(now_ms) + $3 * 1000))
  while [ "$(now_ms)" -lt "$end" ]; do
    [[ $(ask 1 GET "/lohu930/$1") == "200 {\"state\":\"$2\"}" ]] && return 0
    sleep 0.25
  done
  return 1
}

keep_logs() {
  [ -z "${KEEP_LOGS:-}" ] || cp "$dir"/*.log "$KEEP_LOGS"/
}
