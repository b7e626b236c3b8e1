#!/usr/bin/env bash
# Two entries of two data centres accept jobs; one of them owns all, and shares the processors by data centre. Guards
# against a data centre that gets lost between the entry that accepts a job and the owner, and against a burst of one
# data centre that the other one waits for.
set -euo pipefail
source "$(dirname "$0")/users.sh"

submit() {
  curl -sf -m 4 -o /dev/null -H 'Host: h.example' "http://$net.0.$1:29161/p/$2" \
    --data '{"spec":"x","steps":[{"count":4,"cpu":1000,"estimate_ms":500}]}' || fail "job $2 was not accepted"
}

start_store 2
entry_settings=$'data_centre = "a"\nshares.by = "data_centre"' start_entry first "$net.0.11"
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
entry_settings=$'data_centre = "b"\nshares.by = "data_centre"' start_entry second "$net.0.12"
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"
start_agent agent "$net.1.1" "$net.2.1:29165"
"$BUILD/bin/standin-runner" "$net.2.1:29165" "$net.1.1:29166" 500 >"$dir/runner.out" 2>"$dir/runner.log" &
pids+=($!)
wait_line "$dir/first.log" "sched worker_found" 8000 || fail "the owner knows no worker"
cpu_m=$(grep -o 'cpu_m=[0-9]*' <<<"$(grep -m 1 'sched room' "$dir/first.log")" | head -n 1)

for i in $(seq 40); do
  submit 11 "$(printf 'a%015x' "$i")"
done
wait_line "$dir/first.log" "sched waited" 4000 || fail "nothing waits ($cpu_m)"
for i in $(seq 4); do
  submit 12 "$(printf 'b%015x' "$i")"
done
for i in $(seq 4); do
  wait_line "$dir/first.log" "job_ended job=$(printf 'b%015x' "$i")" 20000 || fail "job $i of b did not end"
done
n_before=$(grep -c 'sched job_ended job=a' "$dir/first.log" || true)
curl -s "http://$net.0.11:29121/metrics" >"$dir/metrics"
grep -q '^acacia_jobs_started_total{queue="r",data_centre="b"} 4$' "$dir/metrics" || fail "$(grep started "$dir/metrics")"
grep -q '^acacia_share_exceeded{origin="b",' "$dir/metrics" || fail "the owner has no origin b"
grep -q 'sched share_exceeded job=- origin=a ' "$dir/first.log" || fail "a never exceeded its share"
echo "$n_before of 40 jobs of a ended before the four of b, which came after them"
[ "$n_before" -lt 40 ] || fail "b waited for all of a"
