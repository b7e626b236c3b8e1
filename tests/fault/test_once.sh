#!/usr/bin/env bash
# Duplicates of an at-most-once request: during and after the first, through other entries, after a
# restart of every process, by another tenant, with another body, with an expired or a missing date.
set -uo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_MS=300
cluster_init zinsverbund
cluster_start 2 2
publish service_document

say "== during: the same key through both entries at once"
for round in 1 2 3 4; do
  once entry-1 "during-$round" credit >"$CLUSTER_DIR/a" &
  first=$!
  once entry-2 "during-$round" credit >"$CLUSTER_DIR/b" &
  second=$!
  wait "$first" "$second"
  check_equal "round $round: one run" 1 "$(runs_of "during-$round")"
  check_equal "round $round: one answer for both" "$(jq -r .request "$CLUSTER_DIR/a")" \
    "$(jq -r .request "$CLUSTER_DIR/b")"
done

say "== after: through each entry"
answer=$(once entry-1 after credit)
for entry in entry-2 entry-1; do
  check_equal "$entry returns the first answer" "$answer" "$(once "$entry" after credit)"
done
check_equal "one run" 1 "$(runs_of after)"

say "== another body under the key"
check_equal "it is refused" "key_reused no" "$(once entry-2 after debit | error_of)"
check_equal "still one run" 1 "$(runs_of after)"

say "== the key of another tenant"
TENANT=other
check "the other tenant gets a separate answer" test "$(once entry-1 after credit)" != "$answer"
check_equal "it ran for the other tenant" 1 "$(runs_of after)"
TENANT=zinsverbund

say "== dated before the key window"
old=$(($(now_ms) - 90000000))
check_equal "it is refused, as it may have run before the window" "key_expired" \
  "$(DATE_MS=$old once entry-1 ancient credit | jq -r .error.kind)"
check_equal "no run" 0 "$(runs_of ancient)"

say "== without the date of the first attempt"
check_equal "it is refused, since it might be older than its key's window" "bad_request no" \
  "$(call entry-1 deliver -H "Acacia-Kind: once" -H "Idempotency-Key: undated" -d credit | error_of)"
check_equal "no run" 0 "$(runs_of undated)"

say "== after a restart of all entries and agents"
for name in agent-1 agent-2 entry-1 entry-2; do kill_now "$name"; done
start_entry 1
start_entry 2
start_agent 1
start_agent 2
for name in entry-1 entry-2 agent-1 agent-2; do wait_for 20 "$name is ready" is_ready "$name"; done
for entry in entry-1 entry-2; do
  check_equal "$entry returns the first answer" "$answer" "$(once "$entry" after credit)"
done
check_equal "one run" 1 "$(runs_of after)"

say "== the entry is killed with the request in flight"
fault service-1 '{"mode":"slow","count":1,"delay_ms":1500}'
fault service-2 '{"mode":"slow","count":1,"delay_ms":1500}'
once entry-1 orphan credit >/dev/null 2>&1 &
caller=$!
has_run() { [ "$(runs_of orphan)" -ge 1 ]; }
wait_for 5 "the request runs at an endpoint" has_run
kill_now entry-1
wait "$caller" 2>/dev/null
answered() { once entry-2 orphan credit | jq -e '.run == 1' >/dev/null; }
wait_for 15 "another entry returns its answer" answered
check_equal "one run" 1 "$(runs_of orphan)"
