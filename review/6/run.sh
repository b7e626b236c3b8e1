#!/usr/bin/env bash
# Case 6: a route is removed while tasks of its queue fill beside tasks that serve; later the load of the serving tasks
# grows. The owner ends by itself, is started again and ends again, until all leases have lapsed.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/6
source review/common-2.sh

watch_s=15

start_store
{ echo "[$(route serve 0),$(route batch 2)]"; } | publish 1 || cannot_run "no configuration"
start_deployment 3 16000 16000

submit /serve/00000000000000a1 '{"spec":"tail=10,30 impact=500","steps":[{"count":3,"cpu":4000,"mem_mb":2000,"estimate_ms":1000,"long_running":true,"image":"web","target_ms":50,"max_per_server":1,"may_miss":1}]}'
wait_for 10 has_runs start '00000000000000a1\.' 3 || cannot_run "the serving tasks did not start"
sleep 4
submit /batch/00000000000000b1 '{"spec":"fills=8000 work=100000 saves=1","steps":[{"count":3,"cpu":8000,"mem_mb":2000,"estimate_ms":100000,"fills":true,"checkpointing":true,"image":"render"}]}'
wait_for 15 has_runs start '00000000000000b1\.' 3 || cannot_run "the filling tasks did not start"
sleep 3
if [ "$TROUBLE" = 1 ]; then
  echo "[$(route serve 0)]" | publish 5 || cannot_run "the configuration was not accepted"
fi
sleep 4
busy_from=$(now_ms)
note "the load of the serving tasks grows"
kill -USR1 "${runner_pid[@]}"
sleep "$watch_s"

# AVAIL: a lease that lapses with no disturbance near counts as an order that ends the task. The step's "may_miss" is 1:
# no lease of it may lapse while one of its other tasks is away.
lapses=$(runs end '00000000000000a1\..* lapsed$' | awk -v from="$busy_from" '$1 >= from' | wc -l)
ends=$(grep -c ' entry-[0-9]* ended ' "$record")
text="leases of the 3 serving tasks that lapsed: $lapses (may_miss is 1); ends of entries by themselves: $ends"
if [ "$lapses" -gt 1 ]; then
  finish 1 "AVAIL is broken: $text"
fi
finish 0 "AVAIL holds: $text"
