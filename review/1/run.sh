#!/usr/bin/env bash
# The store goes down while it answers an append of the owner, which is restarted later; see claim.txt.
# With TROUBLE=0 the store does not go down; the owner is restarted alike.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
source "$case_dir/../common.sh"

down_ms=2000
path_store=127.$net.1.2:8100
id=$(new_id)
text=run.$id
[ "${TROUBLE:-1}" != 0 ] || text=

start_standin outage "$path_store" "$store" "$text" "$down_ms" "$record"
start_deployment 4 11 "$path_store"
sleep 3
answer=$(ask 1 POST "/lohu930/$id" \
  '{"spec":"work_ms=800","steps":[{"count":6,"cpu":240,"mem_mb":480,"estimate_ms":800}]}')
[[ $answer == 200* ]] || finish 2 "the job is not accepted: $answer"
sleep 8
shown=$(ask 2 GET "/lohu930/$id")
owner=0
for i in 1 2 3 4; do
  ! grep -q "owner took_over" "$dir/frontend-$i.log" || owner=$i
done
kill -TERM "${frontend_pid[$owner]}"
note "SIGTERM to frontend-$owner"
sleep 8
ask $((owner % 4 + 1)) GET "/lohu930/$id" >/dev/null
keep_logs

[ "${TROUBLE:-1}" = 0 ] || grep -q "store down" "$record" || finish 2 "the store did not go down"
twice=$(awk '
  $2 == "seen" && /how=done/ { noted[$4] = 1 }
  $2 == "end" && /how=done/ { done[$4] = 1 }
  $2 == "start" && done[$4] { again[$4] = 1 }
  END { for (task in again) n += noted[task]; print n + 0 }' "$record")
text="$twice of 6 tasks were started again after a run had ended done and was taken note of; before the restart the job was shown as ${shown#* }"
[ "$twice" -eq 0 ] || finish 1 "TWICE broken: $text"
finish 0 "TWICE held: $text"
