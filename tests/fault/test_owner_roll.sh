#!/usr/bin/env bash
# An owner that gets SIGTERM hands over immediately, also while one of its appends is in progress; the
# next owner knows the jobs that it accepted.
set -euo pipefail

source "$(dirname "$0")/users.sh"

# Claims are spread over less than 0.5 s, and an append takes 300 ms in this test.
handover_ms=1500

start_store 300
start_entry first $net.0.11
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
start_entry second $net.0.12
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"
curl -sf -H 'Host: h.example' --data '{"spec":"x","steps":[{"count":1,"cpu":100}]}' \
  "http://$net.0.11:29161/p/00000000000000aa" || fail "the job was not accepted"

kill -TERM "${pids[1]}"
wait_line "$dir/second.log" "owner took_over" "$handover_ms" \
  || fail "no new owner within $handover_ms ms"
grep -q "owner took_over.*open_jobs=1" "$dir/second.log" || fail "the new owner doesn't know the job"
state=$(curl -sf -H 'Host: h.example' "http://$net.0.12:29161/p/00000000000000aa")
[ "$state" = '{"state":"queued"}' ] || fail "state is $state"
wait "${pids[1]}" || fail "the first entry exited with $?"
echo "handed over in time"
