#!/usr/bin/env bash
# The platform's log is down for longer than a lease, with tasks running: previews are still
# served, a once request is refused immediately as not run, nothing is evicted or lost.
set -uo pipefail
source "$(dirname "$0")/common.sh"

OUTAGE_S=$((TAKEOVER_S + 3))
STEADY_RUN_MS=15000
both_documents() {
  service_document
  cat <<TOML
[job.steady]
tasks = 3
cpu_milli = 500
memory_mb = 256
run_ms = $STEADY_RUN_MS
checkpoint_ms = 200
[policy]
report_lag_ms = 1000
TOML
}

cluster_init mezcla
cluster_start 3 2
publish both_documents
job=$(submit steady first)
wait_for 20 "tasks run" runs_at_least 3
answer=$(once entry-1 before master)
before=$(evicted_attempts)
sleep $((LEASE_MS / 1000))

say "== the log is down"
fault log '{"mode":"down"}'
outage_detected() { once entry-1 "probe-$RANDOM$RANDOM" x | jq -e '.error.kind == "log_down"' >/dev/null; }
wait_for 5 "the entry has detected it" outage_detected
end=$((SECONDS + OUTAGE_S))
rounds=0
while [ "$SECONDS" -lt "$end" ]; do
  for entry in entry-1 entry-2; do
    [ "$(call_status "$entry" cut -d x)" = 200 ] || fail "a preview through $entry was not answered"
  done
  rounds=$((rounds + 1))
  sleep 0.2
done
check "previews were served ($rounds rounds)" test "$rounds" -ge 5
start=$(now_ms)
refusal=$(call_full entry-2 deliver -H "Acacia-Kind: once" -H "Idempotency-Key: during" \
  -H "Acacia-Date-Ms: $(now_ms)" -d master)
took=$(($(now_ms) - start))
check "a once request is refused immediately ($took ms)" test "$took" -lt "$AT_ONCE_MS"
check_equal "it is reported as not run" "log_down no" "$(body_of <<<"$refusal" | error_of)"
check "it has a Retry-After header" test "$(header Retry-After <<<"$refusal")" -ge 1
check_equal "it did not run" 0 "$(runs_of during)"
check_equal "a recorded answer is still returned" "$answer" "$(once entry-1 before master)"
start=$(now_ms)
ctl submit steady --key refused >/dev/null 2>&1 && fail "a job was accepted without the log"
check "a job is refused immediately" test $(($(now_ms) - start)) -lt $((2 * AT_ONCE_MS))
check_equal "nothing was evicted" "$before" "$(evicted_attempts)"

say "== the log is back"
fault log '{"mode":"none"}'
runs_again() { once entry-1 during master | jq -e '.run == 1' >/dev/null; }
wait_for 10 "the refused request runs" runs_again
check_equal "it ran once" 1 "$(runs_of during)"
check_equal "the earlier one ran once" 1 "$(runs_of before)"
wait_for 40 "the job is done" job_is "$job" done
check_equal "no task was started twice" 3 "$(history | jq -s length)"
check_equal "nothing was evicted" "$before" "$(evicted_attempts)"
check_tasks
