#!/usr/bin/env bash
# The log performs an append, but its answer is lost, truncated or corrupted: the request takes effect
# once, and the caller gets a correct answer.
set -uo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_MS=20
STEADY_TASKS=1
STEADY_RUN_MS=200
documents() {
  service_document
  batch_document
}

cluster_init zinsverbund
cluster_start 2 2
publish documents

for mode in lose_answer truncate garbage; do
  say "== $mode"
  fault log "{\"mode\":\"$mode\",\"count\":1}"
  credited() { once entry-1 "credit-$mode" x | jq -e '.run == 1' >/dev/null; }
  wait_for 15 "a once request has its answer" credited
  check_equal "it ran once" 1 "$(runs_of "credit-$mode")"

  fault log "{\"mode\":\"$mode\",\"count\":1}"
  wait_for 15 "a job is accepted" submit steady "job-$mode"
  job=$(submit steady "job-$mode")
  wait_for 20 "it is done" job_is "$job" done
  check_equal "it was started once" 1 \
    "$(history | jq -s --arg job "$job" 'map(select(.job == $job)) | length')"

  fault log "{\"mode\":\"$mode\",\"count\":1}"
  before=$(config_version entry-1)
  ctl --json apply "$CLUSTER_DIR/document.toml" --base "$before" --note "$mode" >/dev/null 2>&1
  wait_for "$CONFIG_S" "a configuration is in force" has_config entry-1 $((before + 1))
  check_equal "the history has it once" 1 \
    "$(ctl --json history | jq --arg note "$mode" '[.versions[] | select(.note == $note)] | length')"
done

say "== every answer of the log is lost, for longer than an append is retried"
count_jobs() { ctl --json jobs | jq '.jobs | length'; }
before=$(count_jobs)
fault log '{"mode":"lose_answer","for_ms":6000}'
answer=$(curl -sS -m 20 -X POST -d '{"name":"steady","key":"doubt","submitter":"test"}' \
  "$(url_of entry-1)/v1/jobs")
reported=$(jq -r '.error.ran // "accepted"' <<<"$answer")
sleep 7
wait_for 10 "the log answers again" once entry-1 settled x
new_jobs=$(($(count_jobs) - before))
check "reported '$reported': a job reported as not accepted does not exist" \
  test "$reported:$new_jobs" != no:1 -a "$new_jobs" -le 1
