#!/usr/bin/env bash
# A frontend freezes, its client gives up and cancels at another one; see claim.txt. With TROUBLE=0 no
# frontend freezes.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
source "$case_dir/../common.sh"

freeze_ms=1000
cancel_ms=3000

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
# The client waits for 250 ms, the objective of a preview-cut, leaves, and cancels. The second step
# starts 5 s after the first one.
client_wait_s=0.25 ask "$frozen" POST "/lohu930/$id" \
  '{"spec":"work_ms=5000","steps":[{"count":6,"cpu":240,"mem_mb":480,"estimate_ms":5000},{"count":6,"cpu":240,"mem_mb":480,"estimate_ms":5000,"after":[0]}]}' >/dev/null
answer=$(ask "$other" DELETE "/lohu930/$id")
acked=$(now_ms)
[[ $answer == 200* || $answer == 410* ]] || finish 2 "the cancel is not acknowledged: $answer"
sleep 15
ask "$other" GET "/lohu930/$id" >/dev/null
keep_logs

late=$(awk -v after=$((acked + cancel_ms)) -v job="$id" \
  '$2 == "start" && index($4, job) && $1 > after' "$record" | wc -l)
newest=$(awk -v acked="$acked" -v job="$id" \
  '$2 == "start" && index($4, job) { ms = $1 - acked } END { print ms + 0 }' "$record")
text="cancel acknowledged with ${answer%% *}; $late starts later than $cancel_ms ms after it, the last one after $newest ms"
[ "$late" -eq 0 ] || finish 1 "UNASKED broken: $text"
finish 0 "UNASKED held: $text"
