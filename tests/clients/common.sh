# Common functions of the tests with misbehaving clients. All processes listen on $net.0.60 to $net.0.79.
# shellcheck shell=bash disable=SC2034

source "$(dirname "${BASH_SOURCE[0]}")/../fault/users.sh"
store=$net.0.60:29100
second_store=$net.0.60:29101
entry_ip=$net.0.61
agent_ip=$net.0.62
runner_ip=$net.0.63

# setting PROGRAM LINE: prints the line if the program knows its key. Older builds refuse unknown keys.
setting() {
  if "$PROGRAMS/$1" --print-example 2>/dev/null | grep -qF "${2%% =*}"; then
    printf '%s\n' "$2"
  fi
}

memory_kb() { awk '/^VmHWM:/ {print $2}' "/proc/$1/status"; }
descriptors() { find "/proc/$1/fd" -mindepth 1 2>/dev/null | wc -l; }

# crowd ADDRESS KIND CONNECTIONS BYTES PATH: connects a crowd and waits until it has sent what it can.
crowd() {
  # The line of the crowd before must not count: the file is otherwise emptied after the wait has begun.
  : >"$dir/flood.out"
  "$BUILD/bin/standin-flood" "$@" >"$dir/flood.out" 2>&1 &
  flood=$!
  pids+=("$flood")
  wait_line "$dir/flood.out" settled 60000 || fail "the crowd did not settle: $*"
}

leave_crowd() {
  kill "$flood"
  wait "$flood" 2>/dev/null || true
}

faults=0
# fault TEXT...: records a failed check; report_faults ends the test.
fault() {
  echo "fault: $*"
  faults=$((faults + 1))
}

report_faults() {
  [ "$faults" -eq 0 ] || fail "$faults faults"
}

# The address sanitizer keeps freed memory and shadows all of it, so the memory of such a build is not the program's:
# 35 to 59 MB of growth and 189 MB resident where the same crowds of test_bodies stay below 5 MB in the usual build.
# The other checks hold there as well.
has_sanitizer() { grep -q __asan_init "$PROGRAMS/acacia-scheduler"; }

# check_bounds PID MEMORY_BEFORE_KB MEMORY_GROWTH_KB DESCRIPTORS WHAT
check_bounds() {
  local grown open
  kill -0 "$1" 2>/dev/null || fail "$5: the process has ended"
  grown=$(($(memory_kb "$1") - $2))
  open=$(descriptors "$1")
  echo "$5: memory grew by $grown KB, $open descriptors"
  has_sanitizer || [ "$grown" -le "$3" ] || fault "$5: memory grew by $grown KB, the bound is $3"
  [ "$open" -le "$4" ] || fault "$5: $open descriptors, the bound is $4"
}

# check_ready WHAT: the readiness probe is answered.
check_ready() {
  [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' "http://$entry_ip:29167/ready")" = 200 ] \
    || fault "$1: GET /ready was not answered"
}

# check_job WHAT: a job is accepted, and its state is completed after a while.
n_jobs=0
check_job() {
  local id state="" status
  n_jobs=$((n_jobs + 1))
  id=$(printf '%016x' "$n_jobs")
  status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
    --data '{"spec":"x","steps":[{"count":1,"cpu":100}]}' "http://$entry_ip:29161/p/$id") || true
  if [ "$status" != 200 ]; then
    fault "$1: the job was answered with $status"
    return
  fi
  for _ in $(seq 100); do
    state=$(curl -s -m 10 -H 'Host: h.example' "http://$entry_ip:29161/p/$id" || true)
    case "$state" in *completed*) return ;; esac
    sleep 0.1
  done
  fault "$1: the job did not run: $state"
}

# start_installation: a store, one entry, one agent and one worker; sets entry and agent to their ids.
start_installation() {
  start_store 2
  entry_settings="$(setting acacia-scheduler 'callers.connections_max = 200')
$(setting acacia-scheduler 'callers.buffer_bytes = 2097152')
$(setting acacia-scheduler 'callers.read_timeout_s = 30')"
  start_entry entry "$entry_ip"
  entry=${pids[-1]}
  wait_line "$dir/entry.log" "owner took_over" 15000 || fail "the entry never became the owner"
  start_agent agent "$agent_ip" "$runner_ip:29165"
  agent=${pids[-1]}
  "$BUILD/bin/standin-runner" "$runner_ip:29165" "$agent_ip:29166" 50 >"$dir/runner.out" 2>"$dir/runner.log" &
  pids+=($!)
  wait_line "$dir/entry.log" "sched worker_found" 15000 || fail "the owner knows no worker"
  check_job "before"
  report_faults
}
