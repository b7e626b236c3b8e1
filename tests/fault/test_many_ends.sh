#!/usr/bin/env bash
# 10,000 tasks of five workers end while the store is silent; then the owner and the agents are killed. A
# worker lists 500 ends at a time. Guards against a second run of a task whose end is not listed yet.
set -euo pipefail
source "$(dirname "$0")/users.sh"

tasks=10000
workers=5
work_ms=8000

# start_agents: their process ids go to agents.
start_agents() {
  agents=()
  for i in $(seq "$workers"); do
    start_agent "agent-$i" "$net.1.$i" "$net.2.$i:29165"
    agents+=("${pids[-1]}")
  done
}

start_store 2
store_pid=${pids[-1]}
start_entry first $net.0.11
first=${pids[-1]}
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
start_entry second $net.0.12
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"
start_agents
for i in $(seq "$workers"); do
  "$BUILD/bin/standin-runner" "$net.2.$i:29165" "$net.1.$i:29166" "$work_ms" >"$dir/runner-$i.out" 2>"$dir/runner-$i.log" &
  pids+=($!)
done
wait_workers "$dir/first.log" "$workers"

curl -sf -o /dev/null -H 'Host: h.example' "http://$net.0.11:29161/p/00000000000000aa" \
  --data "{\"spec\":\"x\",\"steps\":[{\"count\":$tasks,\"cpu\":1,\"estimate_ms\":$work_ms}]}" \
  || fail "the job was not accepted"
wait_count "^start" "$tasks" 60000
wait_count "^end" 1 60000
kill -STOP "$store_pid"
wait_count "^end" "$tasks" 60000
kill -KILL "$first" "${agents[@]}"
wait "$first" "${agents[@]}" 2>/dev/null || true
start_agents
kill -CONT "$store_pid"
wait_line "$dir/second.log" "owner took_over" 20000 || fail "no new owner"
wait_count "^seen .* done" "$tasks" 60000
sleep 2

# Run numbers rise with each start of a task.
again=$(awk '
  $1 == "start" && $3 > newest[$2] { newest[$2] = $3 }
  $1 == "end" && $4 == "done" { ended[$2] = $3 }
  END { for (task in ended) if (newest[task] > ended[task]) print task }' "$dir"/runner-*.out)
[ -z "$again" ] || fail "started again after they had ended: $(echo "$again" | wc -l) tasks"
# Otherwise the test has shown nothing.
grep -q ends_cut_off "$dir"/agent-*.log || fail "no list of ends was cut off"
echo "$(count "^start") starts of $tasks tasks, $(count "^seen") ends acknowledged, $(count "^end .* lapsed") lapsed"
