#!/usr/bin/env bash
# A frontend freezes, its client gives up and cancels at another one; see claim.txt. With TROUBLE=0 no
# frontend freezes.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
source "$case_dir/../common.sh"

freeze_ms=2000
# cancel_ms and stop_grace_ms of the site.
bound_ms=3900

start_deployment 4 11
sleep 4
# A frontend that is not the owner, and another one.
frozen=0
for i in 1 2 3 4; do
  grep -q "owner took_over" "$dir/frontend-$i.log" || frozen=$i
done
[ "$frozen" -ne 0 ] || finish 2 "every frontend has been the owner"
other=$((frozen % 4 + 1))
id=$(new_id)
if [ "${TROUBLE:-1}" != 0 ]; then
  kill -STOP "${frontend_pid[$frozen]}"
  note "frontend-$frozen freezes for $freeze_ms ms"
  (
    sleep "$(awk -v ms="$freeze_ms" 'BEGIN { print ms / 1000 }')"
    kill -CONT "${frontend_pid[$frozen]}"
    note "frontend-$frozen wakes"
  ) &
  pids+=($!)
fi
sleep 0.1
# The client waits for 250 ms, the objective of a preview-cut, leaves, and cancels.
client_wait_s=0.25 ask "$frozen" POST "/lohu930/$id" \
  '{"spec":"lasts","steps":[{"count":6,"cpu":3200,"mem_mb":6400,"long_running":true}]}' >/dev/null
answer=$(ask "$other" DELETE "/lohu930/$id")
acked=$(now_ms)
[[ $answer == 200* || $answer == 410* ]] || finish 2 "the cancel is not acknowledged: $answer"
sleep 15
now=$(now_ms)
ask "$other" GET "/lohu930/$id" >/dev/null
keep_logs

starts=$(grep -c "start runner.*task=$id" "$record")
ends=$(grep -c "end runner.*task=$id" "$record")
text="cancel acknowledged with ${answer%% *}; $((now - acked)) ms later $((starts - ends)) of its tasks run"
[ $((now - acked)) -gt "$bound_ms" ] || finish 2 "the clock went back"
[ "$starts" -eq "$ends" ] || finish 1 "UNASKED broken: $text"
finish 0 "UNASKED held: $text"
