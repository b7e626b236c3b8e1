#!/usr/bin/env bash
# kill -9 of the shard's owner while tasks run: another entry owns the shard within
# lease + fresh + 2 s; every accepted task is done, none twice and none in two places.
set -uo pipefail
source "$(dirname "$0")/common.sh"

cluster_init mezcla
cluster_start 3 2
publish batch_document
job=$(submit steady first)
wait_for 10 "tasks run" runs_at_least 4
owner=$(owner_of 0)
queued=$(submit steady second)

say "== $owner is killed"
kill_now "$owner"
wait_for "$TAKEOVER_S" "the shard has another owner" owner_is_not "$owner"
for id in "$job" "$queued"; do wait_for 40 "job $id is done" job_is "$id" done; done
check_tasks
check_equal "no task was started during a live attempt" 12 \
  "$(history | jq -s 'map(select(.state == "done")) | length')"

say "== the former owner restarts and the new owner is killed"
start_entry "${owner#entry-}"
wait_for 20 "$owner is ready" is_ready "$owner"
sleep $((LEASE_MS / 1000))
third=$(submit steady third)
wait_for 10 "tasks run" runs_at_least 4
second_owner=$(owner_of 0)
kill_now "$second_owner"
wait_for "$TAKEOVER_S" "the shard has an owner again" owner_is_not "$second_owner"
wait_for 40 "the third job is done" job_is "$third" done
check_tasks
