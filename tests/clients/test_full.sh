#!/usr/bin/env bash
# Jobs of legal size that nobody runs, and records that wait for a store that does not answer. Guards against
# memory that grows with accepted jobs and waiting records, and against a refused job that runs later.
set -euo pipefail
source "$(dirname "$0")/common.sh"

spec=$(printf '%04000d' 0)

# submit N: submits a job of about 4 KB, prints the status.
submit() {
  curl -s -m 10 -o /dev/null -w '%{http_code}\n' -H 'Host: h.example' \
    --data "{\"spec\":\"$spec\",\"steps\":[{\"count\":1,\"cpu\":100}]}" \
    "http://$entry_ip:29161/p/$(printf '%016x' "$1")" || true
}
refusals() {
  curl -s -m 10 "http://$entry_ip:29121/metrics" | awk -v r="$1" 'index($0, "acacia_refused_total{reason=\"" r "\"}") { n = $2 } END { print n + 0 }'
}
# check_known N STATUS: the state of job N is answered with STATUS.
check_known() {
  [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
    "http://$entry_ip:29161/p/$(printf '%016x' "$1")")" = "$2" ] || fault "the state of job $1 is not answered with $2"
}

start_store 2
store_pid=${pids[-1]}
entry_settings="$(setting acacia-scheduler 'jobs.body_bytes = 40000')
$(setting acacia-scheduler 'jobs.outbox_bytes = 20000')"
start_entry entry "$entry_ip"
wait_line "$dir/entry.log" "owner took_over" 15000 || fail "the entry never became the owner"

# The store is stopped: 4 records fit.
kill -STOP "$store_pid"
load=()
for n in $(seq 101 120); do
  submit "$n" >>"$dir/stopped" &
  load+=($!)
done
wait "${load[@]}"
kill -CONT "$store_pid"
[ "$(refusals outbox_full)" -gt 0 ] || fault "no job was refused while the store did not answer"
sleep 3
# Those that waited are written when the store answers; then bodies are accepted up to their limit.
for n in $(seq 30); do
  echo "$n $(submit "$n")"
done >"$dir/accepted"
[ "$(refusals jobs_full)" -gt 0 ] || fault "no job was refused for the bodies of accepted jobs"
grep -q ' 200$' "$dir/accepted" || fault "no job was accepted after the store answered again"
while read -r n status; do
  [ "$status" = 200 ] || check_known "$n" 410
done <"$dir/accepted"
sort "$dir/stopped" | uniq -c
cut -d' ' -f2 "$dir/accepted" | sort | uniq -c
report_faults
