#!/usr/bin/env bash
# The endpoint misbehaves: refuses, fails, loses, cuts or garbles its answer, or hangs. A caller gets
# a whole answer or a typed error; "not run" is said only of what did not run; a once request never
# runs twice.
set -uo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_MS=20
SERVICE_TIMEOUT_MS=2000
cluster_init zinsverbund
cluster_start 1 2
publish service_document

# mode | may the request have run when its first answer comes
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
    check "$kind: a whole answer or a typed error" \
      jq -e '(.error.kind != null and .error.ran != null) or .length == 6' <<<"$answer"
    said=$(jq -r '.error.ran // "answer"' <<<"$answer")
    runs=$(runs_of "$key")
    if [ "$said" = no ]; then check_equal "$kind: not run is true" 0 "$runs"; fi
    if [ "$ran" = no ]; then check_equal "$kind: nothing ran" 0 "$runs"; fi
    fault service-1 '{"mode":"none"}'
    if [ "$kind" = once ]; then
      for entry in entry-2 entry-1 entry-2; do
        once "$entry" "$key" credit >"$CLUSTER_DIR/again"
        check "asked again: a whole answer or a typed error" \
          jq -e '(.error.kind != null and .error.ran != null) or .length == 6' "$CLUSTER_DIR/again"
      done
      check "at most one run" test "$(runs_of "$key")" -le 1
    fi
  done
done <<<"$table"

say "== it hangs past the caller's deadline"
fault service-1 '{"mode":"slow","count":1,"delay_ms":3000}'
start=$(now_ms)
answer=$(call entry-1 deliver -H "Acacia-Timeout-Ms: 700" -d credit)
took=$(($(now_ms) - start))
check "a typed error" jq -e '.error.kind != null' <<<"$answer"
check "the deadline is kept ($took ms)" test "$took" -lt $((700 + AT_ONCE_MS))
