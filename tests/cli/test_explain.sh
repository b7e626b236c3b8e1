#!/usr/bin/env bash
# A job is explained from the log while its shard has no owner: before the first claim, and after the owner died.
set -uo pipefail
source "$(dirname "$0")/../fault/common.sh"

explain() { ctl --json explain "$1"; }
is_explained() { [ "$(explain "$1" | jq -r .job)" = "$1" ]; }

# is_explained_from_log JOB: the answer has the tasks, and says why their placement is not known.
is_explained_from_log() {
  local answer
  answer=$(explain "$1") || return 1
  jq -e '(.placement_unknown | length) > 0 and (.task_list | length) == 6' <<<"$answer" >/dev/null
}

cluster_init mezcla
cluster_start 1 2
batch_document >"$CLUSTER_DIR/document.toml"
check "a document is accepted at once" ctl apply "$CLUSTER_DIR/document.toml"
first=$(submit steady first)
check "a job is explained before any entry owns its shard" is_explained "$first"

wait_for "$TAKEOVER_S" "the shard has an owner" owner_is_not none
owner=$(owner_of 0)
second=$(submit steady second)
wait_for 10 "the owner explains the job" is_explained "$second"
kill_now "$owner"
check "a job is explained after its shard's owner died" is_explained_from_log "$second"
