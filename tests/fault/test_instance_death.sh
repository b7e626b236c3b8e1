#!/usr/bin/env bash
# An instance is killed while it runs tasks (worker and agent, then a worker alone): each of its tasks is
# started again exactly once, and all are done.
set -uo pipefail
source "$(dirname "$0")/common.sh"

STEADY_RUN_MS=5000
cluster_init zinsverbund
cluster_start 3 2
publish batch_document

# tasks_on WORKER: the worker's running tasks, as "job/index" lines.
tasks_on() {
  history | jq -r --arg worker "$1" \
    'select(.worker == $worker and .end_ms == null) | "\(.job)/\(.index)"' | sort
}

busiest_worker() {
  history | jq -rs 'map(select(.end_ms == null)) | group_by(.worker) | max_by(length)[0].worker'
}

# starts_of TASKS: number of starts of these tasks on the live workers.
starts_of() {
  history | jq -r '"\(.job)/\(.index)"' | grep -Fxc -f <(printf '%s\n' "$1")
}

say "== worker and agent are killed"
job=$(submit steady first)
wait_for 10 "tasks run" runs_at_least 6
lost=$(busiest_worker)
tasks=$(tasks_on "$lost")
kill_now "agent-${lost#worker-}"
kill_now "$lost"
wait_for 40 "the job is done" job_is "$job" done
check_equal "each lost task was started again exactly once" "$(wc -l <<<"$tasks")" \
  "$(starts_of "$tasks")"
check_tasks

say "== the instance restarts without tasks, then a worker alone is killed"
start_worker "${lost#worker-}"
start_agent "${lost#worker-}"
wait_for 20 "agent-${lost#worker-} is ready" is_ready "agent-${lost#worker-}"
job=$(submit steady second)
wait_for 15 "tasks run" runs_at_least 6
lost=$(busiest_worker)
tasks=$(tasks_on "$lost")
kill_now "$lost"
sleep 1
start_worker "${lost#worker-}"
wait_for 60 "the job is done" job_is "$job" done
check_equal "each lost task was started again exactly once" "$(wc -l <<<"$tasks")" \
  "$(starts_of "$tasks")"
check_tasks
