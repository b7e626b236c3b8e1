#!/usr/bin/env bash
# Jobs of legal size with very many tasks, submitted at once. Guards against tables of tasks at the owner that grow
# with accepted jobs, and against a refused job that runs later.
set -euo pipefail
source "$(dirname "$0")/common.sh"

# One job of 100,000 tasks takes 21 MB, and one fits within the limit.
growth_kb=48000
descriptors_max=300
steps=$(for _ in $(seq 10); do printf '{"count":10000,"cpu":100000},'; done)
body="{\"spec\":\"x\",\"steps\":[${steps%,}]}"

# submit N: submits a job of 100,000 tasks that fit nowhere, prints its number and the status.
submit() {
  echo "$1 $(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: h.example' --data "$body" \
    "http://$entry_ip:29161/p/$(printf '%016x' "$1")" || true)"
}

start_store 2
entry_settings="$(setting acacia-scheduler 'jobs.tasks_max = 150000')"
start_entry entry "$entry_ip"
entry=${pids[-1]}
wait_line "$dir/entry.log" "owner took_over" 15000 || fail "the entry never became the owner"
before=$(memory_kb "$entry")
load=()
for n in $(seq 40); do
  submit "$n" >"$dir/answer.$n" &
  load+=($!)
done
wait "${load[@]}"
cat "$dir"/answer.* >"$dir/answers"
cut -d' ' -f2 "$dir/answers" | sort | uniq -c
check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "40 jobs of 100,000 tasks"
while read -r n status; do
  [ "$status" != 503 ] || [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
    "http://$entry_ip:29161/p/$(printf '%016x' "$n")")" = 410 ] || fault "job $n was refused and is known"
done <"$dir/answers"
status=$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
  --data '{"spec":"x","steps":[{"count":1,"cpu":100}]}' "http://$entry_ip:29161/p/00000000000000ff" || true)
[ "$status" = 200 ] || fault "a small job was answered with $status"
report_faults
