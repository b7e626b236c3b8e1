#!/usr/bin/env bash
# A job of 8,000 tasks with the longest spec is accepted beside running tasks, then a small urgent job. Guards against
# starts whose message is larger than the agents take: nothing starts any more, and the leases of what runs expire.
set -euo pipefail
source "$(dirname "$0")/users.sh"

tasks=8000
workers=3
work_ms=30000

# submit JOB SPEC STEP
submit() {
  curl -sf -m 4 -o /dev/null -H 'Host: h.example' "http://$net.0.11:29161/$1" \
    --data "{\"spec\":\"$2\",\"steps\":[$3]}" || fail "job $1 was not accepted"
}

start_store 2
echo '{"version":2,"routes":[
  {"name":"urgent","host":"h.example","path_prefix":"/urgent/","service":"s","priority":0,"max_attempts":2},
  {"name":"bulk","host":"h.example","path_prefix":"/bulk/","service":"s","priority":2,"max_attempts":2}],
  "services":[{"name":"s"}]}' >"$dir/config.json"
append config "$dir/config.json"
start_entry first "$net.0.11"
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the entry never became the owner"
for i in $(seq "$workers"); do
  start_agent "agent-$i" "$net.1.$i" "$net.2.$i:29165"
  "$BUILD/bin/standin-runner" "$net.2.$i:29165" "$net.1.$i:29166" "$work_ms" >"$dir/runner-$i.out" 2>"$dir/runner-$i.log" &
  pids+=($!)
done
wait_workers "$dir/first.log" "$workers"

submit urgent/00000000000000a1 x '{"count":3,"cpu":1000,"max_per_server":1}'
wait_count "^start 00000000000000a1" 3 5000
spec=$(head -c 4000 /dev/zero | tr '\0' x)
submit bulk/00000000000000b1 "$spec" "{\"count\":$tasks,\"cpu\":1,\"estimate_ms\":$work_ms}"
sleep 0.5
submit urgent/00000000000000c1 x '{"count":2,"cpu":500}'
# The longest time that a job may have nothing running while there is capacity for it.
wait_count "^start 00000000000000c1" 2 3000
wait_count "^start 00000000000000b1" "$tasks" 20000
[ "$(count ' lapsed$')" -eq 0 ] || fail "$(count ' lapsed$') leases expired"
grep -q "orders_too_large" "$dir/first.log" && fail "a message was too large"
echo "$tasks starts, and those of the urgent job in time"
