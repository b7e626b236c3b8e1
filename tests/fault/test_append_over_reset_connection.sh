#!/usr/bin/env bash
# The owner's connections to the store are reset just after appends have passed, and refused for 2 s; later
# the owner is replaced. No task whose end was acknowledged to its worker starts again, and no sequence number
# is used for other records. A refusal of the repeat must not be taken for a refusal of the append.
set -euo pipefail
source "$(dirname "$0")/users.sh"

proxy_ip=$net.0.15
refuse_s=2
tasks=200
outages=2

count() { grep -c "$1" "$dir/runner.out" || true; }

# wait_count PATTERN N MS: waits until the runner has printed N lines that match.
wait_count() {
  local end=$(($(date +%s%N) / 1000000 + $3))
  until [ "$(count "$1")" -ge "$2" ]; do
    [ $(($(date +%s%N) / 1000000)) -lt "$end" ] || fail "$(count "$1") lines '$1' after $3 ms, expected $2"
    sleep 0.02
  done
}

start_store 2
"$BUILD/bin/standin-outage" "$proxy_ip" "${store%:*}" "${store#*:}" "$((refuse_s * 1000))" >"$dir/outage.log" 2>&1 &
outage=$!
pids+=("$outage")
start_entry first $net.0.11 "$proxy_ip:${store#*:}"
first=${pids[-1]}
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
start_entry second $net.0.12
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"

start_agent agent $net.0.13 $net.0.16:29165
"$BUILD/bin/standin-runner" $net.0.16:29165 $net.0.13:29166 200 >"$dir/runner.out" 2>"$dir/runner.log" &
pids+=($!)

# Ends are acknowledged all the time, so that each outage hits appends with ends.
curl -sf -o /dev/null -H 'Host: h.example' "http://$net.0.11:29161/p/00000000000000aa" \
  --data "{\"spec\":\"x\",\"steps\":[{\"count\":$tasks,\"cpu\":1000,\"estimate_ms\":200}]}" \
  || fail "the job was not accepted"
wait_count "^seen" 8 8000
for _ in $(seq "$outages"); do
  kill -USR1 "$outage"
  before=$(count "^seen")
  sleep "$refuse_s.5"
  wait_count "^seen" $((before + 8)) 8000
done

kill -TERM "$first"
wait_line "$dir/second.log" "owner took_over" 6000 || fail "no new owner"
before=$(count "^seen")
wait_count "^seen" "$((before + 8 < tasks ? before + 8 : tasks))" 8000
sleep 1

again=$(awk '
  $1 == "start" && seen[$2] { print $2 }
  $1 == "seen" && $4 == "done" { seen[$2] = 1 }' "$dir/runner.out")
[ -z "$again" ] || fail "started again after their ends were acknowledged: $(echo "$again" | wc -l) tasks"
! grep "BROKEN" "$dir/store.log" || fail "the store was given other records under a used sequence number"
# Otherwise the test has shown nothing.
grep -q "append_answered.*outcome=in_doubt" "$dir/first.log" || fail "no outage hit an append"
echo "no task started again, $(count "^seen") ends acknowledged"
