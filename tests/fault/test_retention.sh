#!/usr/bin/env bash
# The log keeps a limited number of records: an entry that was suspended while records expired, and
# processes that start afterwards, load the complete state from a snapshot.
set -uo pipefail
source "$(dirname "$0")/common.sh"

KEPT_RECORDS=150
REQUESTS=100
SERVICE_MS=0
SNAPSHOT_MS=1000
ENTRY_EXTRA=${ENTRY_EXTRA/snapshot_every_ms = 5000/snapshot_every_ms = $SNAPSHOT_MS}
LOG_ARGS=(--retention-records "$KEPT_RECORDS")
cluster_init zinsverbund
cluster_start 2 2
publish service_document
answer=$(once entry-1 first credit)

say "== records expire while an entry is paused"
pause entry-2
for ((i = 0; i < REQUESTS; i++)); do
  once entry-1 "filler-$i" x | jq -e '.run == 1' >/dev/null || fail "request $i"
  # Snapshots are taken at a fixed interval; records must not expire before the next snapshot.
  sleep 0.03
done
next=$(curl -fsS -m 5 "$(url_of entry-1)/v1/status" | jq .log.next_offset)
check "more records were written than are kept ($next)" test "$next" -gt "$KEPT_RECORDS"
resume entry-2
caught_up() {
  curl -fsS -m 2 "$(url_of entry-2)/v1/status" | jq -e --argjson next "$next" \
    '.log.next_offset >= $next' >/dev/null
}
wait_for 10 "the paused entry has caught up" caught_up
check_equal "it returns the first answer" "$answer" "$(once entry-2 first credit)"
check_equal "it has the configuration" "$VERSION" "$(config_version entry-2)"

say "== all entries and agents are restarted"
for name in agent-1 agent-2 entry-1 entry-2; do kill_now "$name"; done
for name in entry-1 entry-2 agent-1 agent-2; do "start_${name%-*}" "${name#*-}"; done
for name in entry-1 entry-2 agent-1 agent-2; do
  wait_for 20 "$name is ready" is_ready "$name"
  wait_for 10 "$name has the configuration" has_config "$name" "$VERSION"
done
for entry in entry-1 entry-2; do
  check_equal "$entry returns the first answer" "$answer" "$(once "$entry" first credit)"
done
check_equal "one run" 1 "$(runs_of first)"
check_equal "one run of the last request" 1 "$(runs_of "filler-$((REQUESTS - 1))")"
