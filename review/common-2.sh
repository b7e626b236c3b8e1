# A small deployment on loopback addresses, for the scripts of cases 6 to 10: the store stand-in, entries, and agents
# with their runners. A script sets "record", the file for what was sent, answered and run, and sources this file from the
# root of the repository.
# shellcheck shell=bash

TROUBLE=${TROUBLE:-1}
standins=build/review-2
# The commands of deploy/system.toml, but for the path of the settings.
scheduler=target/bin/acacia-scheduler
worker=target/bin/acacia-worker
# Pause before a process that has ended is started again, as on the users' machines.
restart_s=0.5
dir=$(mktemp -d)
pids=()
: >"$record"
echo "$(($(date +%s%N) / 1000000)) trouble=$TROUBLE" >>"$record"

for program in "$scheduler" "$worker" "$standins/standin-store" "$standins/review-runner" "$standins/review-silencer"; do
  [ -x "$program" ] || { echo "$program is missing" | tee -a "$record"; exit 2; }
done

# Each script that runs at the same time gets a network of its own.
for number in $(seq 100 119); do
  exec {net_lock}>"/tmp/acaciadale-review-$number.lock"
  flock -n "$net_lock" && break
  exec {net_lock}>&-
  number=
done
[ -n "$number" ] || exit 2
net=127.$number
store=$net.0.1:29100

cleanup() {
  local pid
  touch "$dir/ending"
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
  done
  for pid in "$dir"/*.pid; do
    [ -e "$pid" ] && kill -KILL "$(cat "$pid")" 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP:-}" ]; then
    echo "logs in $dir"
  else
    rm -rf "$dir"
  fi
}
trap cleanup EXIT

now_ms() { echo $(($(date +%s%N) / 1000000)); }

# note TEXT: adds a line to the record.
note() { echo "$(now_ms) $*" >>"$record"; }

cannot_run() {
  note "cannot run: $*"
  echo "cannot run: $*"
  exit 2
}

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# supervise NAME COMMAND...: runs a program of the system, and starts it again after it has ended. Ends are recorded.
supervise() {
  local name=$1
  shift
  (
    trap 'exit 0' TERM
    while [ ! -e "$dir/ending" ]; do
      "$@" >>"$dir/$name.log" 2>&1 &
      echo $! >"$dir/$name.pid"
      wait $!
      status=$?
      [ -e "$dir/ending" ] && exit 0
      note "$name ended status=$status"
      sleep "$restart_s"
    done
  ) 2>/dev/null &
  pids+=($!)
}

# publish VERSION: publishes the routes on stdin, a JSON array, as a configuration of that version.
publish() {
  local size
  jq -c --argjson version "$1" '{version: $version, routes: ., services: [{name: "s", enforces_capacity: false}], limits: {}}' \
    >"$dir/config.json"
  size=$((1 + 6 + $(stat -c %s "$dir/config.json")))
  {
    printf "\\x$(printf %02x $((size >> 24 & 255)))\\x$(printf %02x $((size >> 16 & 255)))"
    printf "\\x$(printf %02x $((size >> 8 & 255)))\\x$(printf %02x $((size & 255)))"
    printf '\x06config'
    cat "$dir/config.json"
  } >"$dir/config.record"
  curl -sf -o /dev/null --data-binary @"$dir/config.record" "http://$store/log-append?topic=keyed.op&part=0" || return 1
  note "config version=$1 acknowledged routes=$(jq -r '[.routes[].name] | join(",")' "$dir/config.json")"
}

# route NAME PRIORITY: prints a route.
route() {
  printf '{"name":"%s","host":"h.example","path_prefix":"/%s/","service":"s","priority":%s,"max_attempts":2,"stretch":2.0,"target_latency_ms":2500,"timeout_ms":3000}' \
    "$1" "$1" "$2"
}

start_store() {
  "$standins/standin-store" "$store" 4 >"$dir/store.log" 2>&1 &
  pids+=($!)
  wait_for 5 curl -s -o /dev/null "http://$store/" || cannot_run "the store does not answer"
}

# start_entry I: starts entry I at $net.0.$((10 + I)).
start_entry() {
  local ip=$net.0.$((10 + $1))
  cat >"$dir/entry-$1.toml" <<TOML
name = "entry-$1"
data_centre = "z"
ip = "$ip"
[internal]
port = 29120
metrics_port = 29121
[callers]
listen = "$ip:29161"
ready = "$ip:29167"
[worker]
lease_max_ms = 10000
gang_timeout_ms = 3000
[store]
address = "$store"
[jobs]
state_s = 120
[limits]
cpu_share = "0.25"
memory_mb = 260
leave_s = "6"
TOML
  supervise "entry-$1" "$scheduler" --config "$dir/entry-$1.toml"
}

# start_worker I CPU_M SMALL_CPU_M: starts agent I at $net.1.I and its runner at $net.2.I. The agent calls the runner
# through a proxy at $net.3.I.
start_worker() {
  local agent=$net.1.$1 runner=$net.2.$1:29165 proxy=$net.3.$1:29165
  cat >"$dir/agent-$1.toml" <<TOML
name = "agent-$1"
data_centre = "z"
ip = "$agent"
[internal]
port = 29120
metrics_port = 29121
[worker]
listen = "$agent:29166"
call = "$proxy"
lease_max_ms = 10000
gang_timeout_ms = 3000
[store]
address = "$store"
[jobs]
state_s = 120
[limits]
cpu_share = "0.15"
memory_mb = 128
leave_s = "6"
TOML
  "$standins/review-runner" "$runner" "$agent:29166" s "$2" "$3" >"$dir/runner-$1.out" 2>"$dir/runner-$1.log" &
  runner_pid[$1]=$!
  pids+=($!)
  "$standins/review-silencer" "$proxy" "$runner" >"$dir/silencer-$1.out" 2>&1 &
  silencer_pid[$1]=$!
  pids+=($!)
  supervise "agent-$1" "$worker" --config "$dir/agent-$1.toml"
}

# is_ready I: whether the readiness probe of entry I succeeds.
is_ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$net.0.$((10 + $1)):29167/ready")" = 200 ]; }

# knows_workers N: whether an owner has heard of N workers.
knows_workers() { [ "$(cat "$dir"/entry-*.log | grep -o 'sched worker_found.*worker=agent-[0-9]*' | grep -o 'agent-[0-9]*$' | sort -u | wc -l)" -ge "$1" ]; }

# call ENTRY METHOD PATH [BODY]: calls an entry, records the call, and leaves status and body of the answer in
# "status" and "answer".
call() {
  local data=()
  [ $# -lt 4 ] || data=(-H 'Content-Type: application/json' --data "$4")
  answer=$(curl -s -m 4 -w '\n%{http_code}' -X "$2" -H 'Host: h.example' -H 'X-Request-Deadline-Ms: 3000' "${data[@]}" \
    "http://$net.0.$((10 + $1)):29161$3")
  status=${answer##*$'\n'}
  answer=${answer%$'\n'*}
  note "call entry=$1 $2 $3${4:+ $4} -> $status $answer"
}

# submit PATH BODY: submits a job as consumers do, at another entry after no answer.
submit() {
  local try
  for try in 1 2 3 1 2 3; do
    call "$try" POST "$1" "$2"
    case $status in
      2*) return 0 ;;
    esac
    sleep 0.5
  done
  cannot_run "$1 was not accepted"
}

# state_of PATH: prints the state of a job, asked at each entry in turn until one answers.
state_of() {
  local entry
  for entry in 1 2 3; do
    call "$entry" GET "$1"
    [ "$status" != 200 ] || break
  done
  jq -r '.state? // "none"' <<<"${answer:-{\}}" 2>/dev/null || echo none
}

# runs EVENT TASK_PATTERN: prints the lines of the runners about an event of tasks.
runs() { cat "$dir"/runner-*.out 2>/dev/null | grep -E "^[0-9]+ [^ ]+ $1 $2" | sort -n; }

# count_runs EVENT TASK_PATTERN
count_runs() { runs "$1" "$2" | wc -l; }

has_runs() { [ "$(count_runs "$1" "$2")" -ge "$3" ]; }

# start_deployment WORKERS CPU_M SMALL_CPU_M: three entries and some workers. The first configuration must have been
# published.
start_deployment() {
  local i
  declare -ga runner_pid silencer_pid
  for i in 1 2 3; do
    start_entry "$i"
  done
  for i in $(seq "$1"); do
    start_worker "$i" "$2" "$3"
  done
  for i in 1 2 3; do
    wait_for 15 is_ready "$i" || cannot_run "entry $i is not ready"
  done
  wait_for 15 knows_workers "$1" || cannot_run "the owner does not know $1 workers"
}

# finish HELD TEXT: adds the lines of the runners to the record and ends the script; HELD is 0 if the rule held.
finish() {
  cat "$dir"/runner-*.out "$dir"/silencer-*.out 2>/dev/null | sort -n | sed 's/^/runner: /' >>"$record"
  note "result: $2"
  echo "$2"
  exit "$1"
}
