#!/usr/bin/env bash
# Case 9: a job of 8,000 small tasks is accepted. The message with its starts is larger than the agents take, and is sent
# again for good: nothing starts any more, and what runs lapses.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
record=review/9/record.txt
source review/common-2.sh

finish_s=14
lasting=00000000000000a1
large=00000000000000b1
later=00000000000000c1
n_tasks=32
[ "$TROUBLE" = 0 ] || n_tasks=8000

start_store
echo "[$(route serve 0),$(route batch 2)]" | publish 1 || cannot_run "no configuration"
start_deployment 3 24000 24000

submit "/serve/$lasting" '{"spec":"","steps":[{"count":3,"cpu":1000,"mem_mb":512,"estimate_ms":1000,"long_running":true,"max_per_server":1}]}'
wait_for 10 has_runs start "$lasting\." 3 || cannot_run "the lasting tasks did not start"
# The longest spec that the pages allow: 4,000 bytes.
spec=$(printf 'work=2000 %3990s' '' | tr ' ' 'x' | sed 's/^work=2000x/work=2000 /')
[ "${#spec}" -eq 4000 ] || cannot_run "the spec has ${#spec} bytes"
submit "/batch/$large" "{\"spec\":\"$spec\",\"steps\":[{\"count\":$n_tasks,\"cpu\":10,\"mem_mb\":8,\"estimate_ms\":2000}]}"
sleep 2
submit "/serve/$later" '{"spec":"work=500","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":500}]}'
sleep $((finish_s + 3))

# LOST: finish_s after the end of the traffic, for 3 s, a job has nothing running while a task's turn has come, there is
# capacity for it twice over, and under half of the service's capacity is in use.
state=$(state_of "/serve/$later")
text="$((finish_s + 3)) s after the last job: $(count_runs start "$large\.") starts of $n_tasks tasks; the last job has $(count_runs start "$later\.") starts and is shown as $state; leases of 3 lasting tasks that lapsed: $(count_runs end "$lasting\..* lapsed")"
if [ "$(count_runs start "$later\.")" -eq 0 ]; then
  finish 1 "LOST is broken: $text"
fi
finish 0 "LOST holds: $text"
