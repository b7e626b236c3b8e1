#!/usr/bin/env bash
# The endpoint refuses or fails requests, loses, truncates or corrupts its answers, or hangs. A caller
# gets a complete answer or a typed error; "not run" is reported only for requests that did not run; a
# once request never runs twice.
set -uo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_MS=20
SERVICE_TIMEOUT_MS=2000
cluster_init zinsverbund
cluster_start 1 2
publish service_document

# fault mode | may the request have run when its first answer arrives
table="down|no
fail|yes
lose_answer|yes
truncate|yes
garbage|yes"

while IFS='|' read -r mode ran; do
  say "== $mode"
  for kind in repeatable once; do
    key=$mode-$kind
    fault service-1 "{\"mode\":\"$mode\",\"count\":50,\"for_ms\":1500}"
    answer=$(call entry-1 deliver -H "Acacia-Kind: $kind" -H "Idempotency-Key: $key" \
      -H "Acacia-Date-Ms: $(now_ms)" -d credit)
    check "$kind: a complete answer or a typed error" \
      jq -e '(.error.kind != null and .error.ran != null) or .length == 6' <<<"$answer"
    reported_ran=$(jq -r '.error.ran // "answer"' <<<"$answer")
    runs=$(runs_of "$key")
    if [ "$reported_ran" = no ]; then check_equal "$kind: reported as not run, and did not run" 0 "$runs"; fi
    if [ "$ran" = no ]; then check_equal "$kind: the request did not run" 0 "$runs"; fi
    fault service-1 '{"mode":"none"}'
    if [ "$kind" = once ]; then
      for entry in entry-2 entry-1 entry-2; do
        once "$entry" "$key" credit >"$CLUSTER_DIR/again"
        check "sent again: a complete answer or a typed error" \
          jq -e '(.error.kind != null and .error.ran != null) or .length == 6' "$CLUSTER_DIR/again"
      done
      check "at most one run" test "$(runs_of "$key")" -le 1
    fi
  done
done <<<"$table"

say "== the endpoint exceeds the caller's deadline"
fault service-1 '{"mode":"slow","count":1,"delay_ms":3000}'
start=$(now_ms)
answer=$(call entry-1 deliver -H "Acacia-Timeout-Ms: 700" -d credit)
took=$(($(now_ms) - start))
check "a typed error" jq -e '.error.kind != null' <<<"$answer"
check "the deadline is met ($took ms)" test "$took" -lt $((700 + AT_ONCE_MS))
