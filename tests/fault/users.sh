# Common functions of the tests on the users' platform: the store stand-in and entries.
# shellcheck shell=bash

BUILD=${BUILD:-build}
# The programs under test; with those of an older build, a test shows whether it finds their faults.
PROGRAMS=${PROGRAMS:-$BUILD/bin}
dir=$(mktemp -d)
pids=()
# Each script that runs at the same time gets a network of its own. The lock is released when the script and all that
# it started have ended.
for number in $(seq 2 19); do
  exec {net_lock}>"/tmp/acaciadale-net-$number.lock"
  flock -n "$net_lock" && break
  exec {net_lock}>&-
  number=
done
[ -n "$number" ] || exit 1
net=127.$number
store=$net.0.1:29100
# Second address of the same store, where calls can be refused or left unanswered.
second_store=$net.0.1:29101

cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

fail() {
  echo "FAIL: $*"
  tail -n 20 "$dir"/*.log
  exit 1
}

# append KEY FILE: appends a record to the operator's keyed topic.
append() {
  local key=$1 file=$2 size
  size=$((1 + ${#key} + $(stat -c %s "$file")))
  {
    printf "\\x$(printf %02x $((size >> 24 & 255)))\\x$(printf %02x $((size >> 16 & 255)))"
    printf "\\x$(printf %02x $((size >> 8 & 255)))\\x$(printf %02x $((size & 255)))"
    printf "\\x$(printf %02x ${#key})%s" "$key"
    cat "$file"
  } >"$dir/record"
  curl -sf -o /dev/null --data-binary @"$dir/record" "http://$store/log-append?topic=keyed.op&part=0"
}

# start_entry NAME IP [STORE]: starts an entry, with the additional settings in $entry_settings.
start_entry() {
  local name=$1 ip=$2
  local from=${3:-$store}
  cat >"$dir/$name.toml" <<TOML
name = "$name"
ip = "$ip"
callers.listen = "$ip:29161"
callers.ready = "$ip:29167"
internal.metrics_port = 29121
store.address = "$from"
${entry_settings:-}
TOML
  "$PROGRAMS/acacia-scheduler" --config "$dir/$name.toml" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# start_entries COUNT: starts entry-1 and so on, of which entry I listens at $net.0.$((40 + I)), and waits until one of
# them is the owner and they have exchanged hellos.
start_entries() {
  local i
  for i in $(seq "$1"); do
    start_entry "entry-$i" "$net.0.$((40 + i))"
  done
  for i in $(seq "$1"); do
    wait_line "$dir/entry-$i.log" "config applied" 8000 || fail "entry $i has no configuration"
  done
  for _ in $(seq 100); do
    grep -q "owner took_over" "$dir"/entry-*.log && break
    sleep 0.1
  done
  grep -q "owner took_over" "$dir"/entry-*.log || fail "no entry became the owner"
  sleep 3
}

# submit_to ENTRY JOB: submits a job of one task to an entry of start_entries, and prints "JOB STATUS".
submit_to() {
  curl -s -m 4 -o /dev/null -w "$2 %{http_code}\n" -H 'Host: h.example' "http://$net.0.$((40 + $1)):29161/p/$2" \
    --data '{"spec":"x","steps":[{"count":1,"cpu":1000,"estimate_ms":200}]}' || true
}

# start_agent NAME IP WORKER: starts an agent beside the worker that listens on WORKER.
start_agent() {
  cat >"$dir/$1.toml" <<TOML
name = "$1"
ip = "$2"
worker.listen = "$2:29166"
worker.call = "$3"
internal.metrics_port = 29121
store.address = "$store"
TOML
  "$PROGRAMS/acacia-worker" --config "$dir/$1.toml" >>"$dir/$1.log" 2>&1 &
  pids+=($!)
}

# wait_line FILE PATTERN MS: waits until a line of the file matches.
wait_line() {
  local end=$(($(date +%s%N) / 1000000 + $3))
  until grep -qs "$2" "$1"; do
    [ $(($(date +%s%N) / 1000000)) -lt "$end" ] || return 1
    sleep 0.02
  done
}

# count PATTERN: prints how many lines of the runners match; these write to runner-*.out.
count() { cat "$dir"/runner-*.out | grep -c "$1" || true; }

# wait_count PATTERN N MS: waits until the runners have printed N lines that match.
wait_count() {
  local end=$(($(date +%s%N) / 1000000 + $3))
  until [ "$(count "$1")" -ge "$2" ]; do
    [ $(($(date +%s%N) / 1000000)) -lt "$end" ] || fail "$(count "$1") lines '$1' after $3 ms, expected $2"
    sleep 0.1
  done
}

# wait_workers FILE N: waits until the owner that writes the file knows N workers.
wait_workers() {
  local found=0
  for _ in $(seq 100); do
    found=$(grep -c "sched worker_found" "$1" || true)
    [ "$found" -lt "$2" ] || return 0
    sleep 0.1
  done
  fail "the owner knows $found of $2 workers"
}

# start_store APPEND_MS: starts the store stand-in and publishes a configuration with one route.
start_store() {
  "$BUILD/bin/standin-store" "$store" "$1" "$second_store" >"$dir/store.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 100); do
    curl -s -o /dev/null "http://$store/" && break
    sleep 0.05
  done
  echo '{"version":1,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/","service":"s","max_attempts":2}],"services":[{"name":"s"}]}' >"$dir/config.json"
  append config "$dir/config.json"
}
