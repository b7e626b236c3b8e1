#!/usr/bin/env bash
# Case 6: a route is removed while tasks of its queue fill beside tasks that serve; later the load of the serving tasks
# grows. The owner ends by itself, is started again and ends again, until all leases have lapsed.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
record=review/6/record.txt
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

# HARM: a task is over its target for harm_ms on end, would be under it without the tasks that fill, and these work on.
# The runners note that every 200 ms; a pause of over 500 ms ends a stretch.
harm_ms=4000
longest=$(runs over '00000000000000a1\.' | awk -v from="$busy_from" '$1 >= from && $6 <= 50 && $7 > 0 {
    if (!($4 in last) || $1 - last[$4] > 500) first[$4] = $1
    last[$4] = $1
    if ($1 - first[$4] > most) most = $1 - first[$4]
  } END { print most + 0 }')
ends=$(grep -c ' entry-[0-9]* ended ' "$record")
text="leases of the 3 serving tasks that lapsed: $lapses (may_miss is 1); longest time over the target by tasks that fill: $longest ms (at most $harm_ms); ends of entries by themselves: $ends"
broken=
[ "$lapses" -le 1 ] || broken=AVAIL
[ "$longest" -lt "$harm_ms" ] || broken="${broken:+$broken and }HARM"
if [ -n "$broken" ]; then
  finish 1 "$broken broken: $text"
fi
finish 0 "AVAIL and HARM hold: $text"
