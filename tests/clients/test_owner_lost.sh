#!/usr/bin/env bash
# A crowd of each kind at the callers' addresses while the owner is lost. Guards against jobs that were accepted before
# or during it and never run, and against memory and descriptors that grow while there is no owner.
set -euo pipefail
source "$(dirname "$0")/common.sh"

growth_kb=32000
descriptors_max=300
other_ip=$net.0.65

# submit N: submits job N at the entry that stays until it is accepted.
submit() {
  local status=""
  for _ in $(seq 100); do
    status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
      --data '{"spec":"x","steps":[{"count":1,"cpu":100}]}' \
      "http://$entry_ip:29161/p/$(printf '%016x' "$1")" || true)
    [ "$status" != 200 ] || return 0
    sleep 0.2
  done
  fault "job $1 was not accepted, last answer $status"
}

# check_completed N: job N is completed after a while.
check_completed() {
  local state=""
  for _ in $(seq 200); do
    state=$(curl -s -m 10 -H 'Host: h.example' "http://$entry_ip:29161/p/$(printf '%016x' "$1")" || true)
    case "$state" in *completed*) return ;; esac
    sleep 0.2
  done
  fault "job $1 did not run: $state"
}

start_store 2
entry_settings="$(setting acacia-scheduler 'callers.connections_max = 200')
$(setting acacia-scheduler 'callers.buffer_bytes = 2097152')
$(setting acacia-scheduler 'callers.read_timeout_s = 30')"
start_entry owner "$other_ip"
owner=${pids[-1]}
wait_line "$dir/owner.log" "owner took_over" 15000 || fail "the first entry never became the owner"
start_entry entry "$entry_ip"
entry=${pids[-1]}
start_agent agent "$agent_ip" "$runner_ip:29165"
"$BUILD/bin/standin-runner" "$runner_ip:29165" "$agent_ip:29166" 50 >"$dir/runner.out" 2>"$dir/runner.log" &
pids+=($!)
wait_line "$dir/owner.log" "sched worker_found" 15000 || fail "the owner knows no worker"
submit 1
check_completed 1
report_faults
before=$(memory_kb "$entry")
crowds=()
for kind in "pieces 100 60000" "pipeline 150 300000" "slow 150 2000"; do
  # shellcheck disable=SC2086
  "$BUILD/bin/standin-flood" "$entry_ip:29161" $kind /p/00000000000000ff >>"$dir/flood.out" 2>&1 &
  crowds+=($!)
  pids+=($!)
done
for n in $(seq 2 11); do
  submit "$n"
done
kill -KILL "$owner"
for n in $(seq 12 31); do
  submit "$n"
done
for n in $(seq 2 31); do
  check_completed "$n"
done
check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "the owner was lost"
kill "${crowds[@]}" 2>/dev/null || true
report_faults
