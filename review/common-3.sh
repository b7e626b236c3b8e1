# A small deployment on loopback for the scripts of the third review: the store stand-in, schedulers, workers and
# runners, each a process of its own. A script sets record, the path of its record, and sources it.
# shellcheck shell=bash

PROGRAMS=${PROGRAMS:-target/bin}
STANDINS=${STANDINS:-target/review-3}
TROUBLE=${TROUBLE:-1}
record=$(cd "$(dirname "$record")" && pwd)/$(basename "$record")
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
dir=$(mktemp -d)
pids=()
# Each script that runs at the same time gets a network of its own.
for number in $(seq 30 59); do
  exec {net_lock}>"/tmp/acaciadale-review-net-$number.lock"
  flock -n "$net_lock" && break
  exec {net_lock}>&-
  number=
done
[ -n "$number" ] || exit 2
net=127.$number
store=$net.0.1:29100

now_ms() { date +%s%3N; }

cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

# Ends with "the case could not run"; the record has what was seen until then.
cannot() {
  say "cannot run: $*"
  write_record
  echo "cannot run: $*"
  tail -n 5 "$dir"/*.log
  exit 2
}

# say TEXT: a line of the script in the record.
say() { echo "$(now_ms) script $*" >>"$dir/script.out"; }

# wait_line FILE PATTERN MS: waits until a line of the file matches.
wait_line() {
  local end=$(($(now_ms) + $3))
  until grep -qs "$2" "$1"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.02
  done
}

# count PATTERN: how many lines of the runners match.
count() { cat "$dir"/runner-*.out | grep -c "$1" || true; }

# wait_count PATTERN N MS: waits until the runners have written N lines that match.
wait_count() {
  local end=$(($(now_ms) + $3))
  until [ "$(count "$1")" -ge "$2" ]; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.05
  done
}

# write_op KEY FILE: the operator writes a record.
write_op() {
  local size=$((1 + ${#1} + $(stat -c %s "$2")))
  {
    printf "\\x$(printf %02x $((size >> 24 & 255)))\\x$(printf %02x $((size >> 16 & 255)))"
    printf "\\x$(printf %02x $((size >> 8 & 255)))\\x$(printf %02x $((size & 255)))"
    printf "\\x$(printf %02x ${#1})%s" "$1"
    cat "$2"
  } >"$dir/op-record"
  curl -sf -o /dev/null --data-binary @"$dir/op-record" "http://$store/log-append?topic=keyed.op&part=0"
}

# start_store: the store answers an append after 4 ms; it holds a config with one queue.
start_store() {
  "$STANDINS/standin-store" "$store" 4 >"$dir/store.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    curl -s -o /dev/null "http://$store/" && break
    sleep 0.05
  done
  cat >"$dir/config.json" <<'JSON'
{"version":1,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"s","max_attempts":3,"stretch":2.0}],"services":[{"name":"s","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
  write_op config "$dir/config.json" || cannot "the store does not take the config"
}

# settings NAME IP: the settings that the template of the deploy file has for both roles, with the bounds of zinsplatt.
settings() {
  cat <<TOML
name = "$1"
data_centre = "z"
ip = "$2"

[internal]
port = 7720
metrics_port = 7721

[store]
address = "$store"

[jobs]
state_s = 120
TOML
}

# start_scheduler NAME IP
start_scheduler() {
  {
    settings "$1" "$2"
    printf '\n[callers]\nlisten = "%s"\nready = "%s"\n' "$2:8161" "$2:8167"
    printf '\n[worker]\nlease_max_ms = 6000\ngang_timeout_ms = 3000\n'
    printf '\n[limits]\ncpu_share = "1.0"\nmemory_mb = 260\nleave_s = "6"\n'
  } >"$dir/$1.toml"
  "$PROGRAMS/acacia-scheduler" --config "$dir/$1.toml" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
}

# start_schedulers N: scheduler-I listens at $net.0.(40+I); waits until one is the owner.
start_schedulers() {
  local i
  for i in $(seq "$1"); do
    start_scheduler "scheduler-$i" "$net.0.$((40 + i))"
    scheduler_pids[i]=${pids[-1]}
  done
  for i in $(seq "$1"); do
    wait_line "$dir/scheduler-$i.log" "config applied" 8000 || cannot "scheduler $i has no config"
  done
  for _ in $(seq 100); do
    grep -q "owner took_over" "$dir"/scheduler-*.log && break
    sleep 0.1
  done
  owner=$(grep -l "owner took_over" "$dir"/scheduler-*.log | sed 's/.*scheduler-\([0-9]*\)\.log/\1/')
  [ -n "$owner" ] || cannot "no owner"
}

# start_worker I [runner options]: the worker and the runner of side machine I.
start_worker() {
  local i=$1 ip=$net.0.$((100 + $1))
  shift
  {
    settings "side-$i" "$ip"
    printf '\n[worker]\nlisten = "%s"\ncall = "%s"\nlease_max_ms = 6000\ngang_timeout_ms = 3000\n' "$ip:8166" "$ip:8165"
    printf '\n[limits]\ncpu_share = "1.0"\nmemory_mb = 128\nleave_s = "6"\n'
  } >"$dir/side-$i.toml"
  "$PROGRAMS/acacia-worker" --config "$dir/side-$i.toml" >>"$dir/side-$i.log" 2>&1 &
  pids+=($!)
  worker_pids[i]=$!
  start_runner "$i" "i-$i" "$@"
}

# start_runner I ID [runner options]: the runner of side machine I.
start_runner() {
  local i=$1 id=$2 ip=$net.0.$((100 + $1))
  shift 2
  "$STANDINS/standin-runner" --listen "$ip:8165" --agent "$ip:8166" --id "$id" "$@" >>"$dir/runner-$i.out" \
    2>>"$dir/runner-$i.log" &
  pids+=($!)
  runner_pids[i]=$!
}

# wait_workers N: waits until the owner knows N runners.
wait_workers() {
  for _ in $(seq 100); do
    [ "$(grep -ch "sched worker_found" "$dir/scheduler-$owner.log")" -lt "$1" ] || return 0
    sleep 0.1
  done
  cannot "the owner does not know $1 runners"
}

# control I CALL: brings a disruption about at runner I.
control() {
  curl -sf -o /dev/null "http://$net.0.$((100 + $1)):8165/standin/$2" || cannot "runner $1 does not take $2"
}

# request METHOD ID [BODY]: a consumer's request to the first scheduler that is not the owner; sets status and answer.
# The front of the owner is used where there is no other.
request() {
  local to
  to=$net.0.$((40 + ${front:-$owner}))
  answer=$(curl -s -m 4 -w '\n%{http_code}' -X "$1" -H 'Host: h.example' -H 'X-Request-Deadline-Ms: 3000' \
    "http://$to:8161/q/$2" ${3:+--data "$3"} || true)
  status=${answer##*$'\n'}
  answer=${answer%$'\n'*}
  say "request $1 $2 status $status $answer"
}

# write_record: puts what was sent, answered and run into the record, in the order of time.
write_record() { cat "$dir"/*.out | sort -n -s -k1,1 >"$record"; }
