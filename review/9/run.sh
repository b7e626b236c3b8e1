#!/usr/bin/env bash
# Case 9: among the jobs of three seconds are two that can never be done. Their tasks fail at once, and the owner blames
# the runners: it starts nothing on any of them for up to 16 s, while they are sound and idle.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/9
source review/common-2.sh

lasting=00000000000000e1
first_poison=00000000000000e2
second_poison=00000000000000e3
hopeless='{"spec":"work=200 fails=1","steps":[{"count":12,"cpu":1800,"mem_mb":3200,"estimate_ms":1700}]}'
sound='{"spec":"work=50","steps":[{"count":1,"cpu":1800,"mem_mb":3200,"estimate_ms":1700}]}'

# submit_poison ID: submits a job that can never be done, or a sound one without the trouble.
submit_poison() {
  if [ "$TROUBLE" = 1 ]; then
    submit "/batch/$1" "$hopeless"
  else
    submit "/batch/$1" "$sound"
  fi
}

start_store
echo "[$(route serve 0),$(route batch 2)]" | publish 1 || cannot_run "no configuration"
start_deployment 3 16000 16000

submit "/serve/$lasting" '{"spec":"","steps":[{"count":3,"cpu":1000,"mem_mb":512,"estimate_ms":1000,"long_running":true,"max_per_server":1}]}'
wait_for 10 has_runs start "$lasting\." 3 || cannot_run "the lasting tasks did not start"
sleep 3

note "three seconds begin in which 2 of 40 jobs can never be done"
begin_ms=$(now_ms)
for i in $(seq 10 47); do
  printf 'url = "http://%s.0.%s:29161/batch/00000000000000%s"\noutput = "/dev/null"\n' "$net" "$((11 + i % 3))" "$i"
done >"$dir/sound.urls"
curl -s -Z --parallel-max 38 -m 4 -w '%{http_code} %{url}\n' -H 'Host: h.example' -H 'X-Request-Deadline-Ms: 3000' \
  -H 'Content-Type: application/json' --data "$sound" -K "$dir/sound.urls" >"$dir/sound.answers" 2>/dev/null
sed "s/^/$(now_ms) call POST, sound: /" "$dir/sound.answers" >>"$record"
[ "$(grep -c '^200 ' "$dir/sound.answers")" -eq 38 ] || cannot_run "not all sound jobs were accepted"
wait_for 5 has_runs end '00000000000000[1-4][0-9]\..* done' 38 || cannot_run "the sound jobs did not end"
submit_poison "$first_poison"
while [ $(($(now_ms) - begin_ms)) -lt 2900 ]; do
  sleep 0.02
done
submit_poison "$second_poison"
note "they have passed after $(($(now_ms) - begin_ms)) ms"

# One lasting task fails, a second after the second job has ended.
has_ended() { case $(state_of "/batch/$second_poison") in completed | failed) ;; *) return 1 ;; esac; }
wait_for 40 has_ended || cannot_run "the second job has not ended"
sleep 1
note "one lasting task fails"
kill -HUP "${runner_pid[1]}"
sleep 22

# LOST: a task that lasts has nothing running for 3 s, from 6 s after its last run, in calm.
end_ms=$(now_ms)
longest=$(runs '(start|end)' "$lasting\." | awk -v now="$end_ms" '
    $3 == "start" && ($4 in ended) { gap = $1 - ended[$4]; if (gap > most) most = gap; delete ended[$4] }
    $3 == "end" { ended[$4] = $1 }
    END { for (task in ended) if (now - ended[task] > most) most = now - ended[task]; print most + 0 }')
text="longest time without a run of a lasting task: $longest ms (at most 9000)"
if [ "$longest" -ge 9000 ]; then
  finish 1 "LOST is broken: $text"
fi
finish 0 "LOST holds: $text"
