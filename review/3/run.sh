#!/usr/bin/env bash
# A scheduled job many of whose times lie in the past; see claim.txt. With TROUBLE=0 it has three.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
source "$case_dir/../common.sh"

repeats=40000
[ "${TROUBLE:-1}" != 0 ] || repeats=3

start_deployment 4 11
sleep 2
# One occurrence a minute up to now.
first=$(($(now_ms) - repeats * 60000))
scheduled=$(new_id)
answer=$(ask 1 POST "/lohu930/$scheduled" "{\"spec\":\"work_ms=800\",\"repeat_count\":$repeats,\"start_at_ms\":$first,\"interval_ms\":60000,\"steps\":[{\"count\":1,\"cpu\":240,\"mem_mb\":480,\"estimate_ms\":800}]}")
[[ $answer == 200* ]] || finish 2 "the scheduled job is not accepted"
accepted=()
for i in $(seq 1 6); do
  id=$(new_id)
  # A client tries again at another frontend, as long as it has no answer.
  for try in 0 1 2; do
    answer=$(client_wait_s=2 ask $(((i + try) % 4 + 1)) POST "/tabi07/$id" \
      '{"spec":"work_ms=800","steps":[{"count":6,"cpu":240,"mem_mb":480,"estimate_ms":800}]}' vesu11.example)
    [[ $answer != 200* ]] || break
  done
  [[ $answer != 200* ]] || accepted+=("$id")
  sleep 0.5
done
[ "${#accepted[@]}" -ge 1 ] || finish 2 "no other job was accepted"
# The rule asks finish_s (14 s) after the end of the traffic.
sleep 14
from=$(now_ms)
sleep 20
for id in "${accepted[@]}"; do
  client_wait_s=2 ask 2 GET "/tabi07/$id" "" vesu11.example >/dev/null
done
keep_logs

# Jobs of the other queue that are accepted, have never run, and have nothing running for 20 s
# while nothing else uses the runners.
idle=0
for id in "${accepted[@]}"; do
  grep -q "start runner.*task=$id" "$record" || idle=$((idle + 1))
done
busy=$(awk -v from="$from" '$1 >= from && $2 == "start"' "$record" | wc -l)
text="${#accepted[@]} other jobs accepted, $idle of them never ran; $busy starts of any job in the last 20 s"
# With no start of any job in 20 s all runners are empty.
[ "$idle" -eq 0 ] || [ "$busy" -gt 0 ] || finish 1 "LOST broken: $text"
finish 0 "LOST held: $text"
