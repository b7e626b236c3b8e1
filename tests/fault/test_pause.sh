#!/usr/bin/env bash
# A process is suspended past its lease and resumed: an agent whose worker runs tasks, then the shard's
# owner. No task runs in two places, none is done twice, all are done.
set -uo pipefail
source "$(dirname "$0")/common.sh"

PAUSE_S=$((TAKEOVER_S + 2))
STEADY_RUN_MS=5000
cluster_init mezcla
cluster_start 3 2
publish batch_document

busiest_worker() {
  history | jq -rs 'map(select(.end_ms == null)) | group_by(.worker) | max_by(length)[0].worker'
}

say "== an agent is paused past its lease"
job=$(submit steady first)
wait_for 10 "tasks run" runs_at_least 6
worker=$(busiest_worker)
agent=agent-${worker#worker-}
pause "$agent"
sleep "$PAUSE_S"
check_equal "the worker ended its tasks when the lease expired" 0 \
  "$(history | jq -s --arg worker "$worker" \
    'map(select(.worker == $worker and .end_ms == null)) | length')"
resume "$agent"
wait_for 40 "the job is done" job_is "$job" done
check_tasks
evictions=$(($(metric entry-1 acacia_entry_evictions_total) + $(metric entry-2 acacia_entry_evictions_total)))
check "the ended tasks are counted as evictions ($evictions)" test "$evictions" -ge 1

say "== the shard's owner is paused past its lease"
job=$(submit steady second)
wait_for 10 "tasks run" runs_at_least 6
owner=$(owner_of 0)
pause "$owner"
has_other_owner() {
  curl -fsS -m 1 "$(url_of "$(other_entry "$owner")")/v1/status" \
    | jq -e --arg old "$owner" '.shards[0].owner != $old' >/dev/null
}
wait_for "$TAKEOVER_S" "the shard has another owner" has_other_owner
sleep 1
resume "$owner"
wait_for 40 "the job is done" job_is "$job" done
check_tasks
