#!/usr/bin/env bash
# A cancel reaches an entry that is behind and does not know the job; the entry that it asks does not answer,
# and meanwhile it reads the job itself. A cancel that is answered with 200 is written.
set -euo pipefail
source "$(dirname "$0")/users.sh"

proxy_ip=$net.0.15
refuse_ms=1700
rounds=5

call() { curl -s -m 3 -o "$dir/body" -w '%{http_code}' -H 'Host: h.example' "$@" || true; }

start_store 2
"$BUILD/bin/standin-outage" "$proxy_ip" "${store%:*}" "${store#*:}" "$refuse_ms" >"$dir/outage.log" 2>&1 &
outage=$!
pids+=("$outage")
start_entry first $net.0.11
first=${pids[-1]}
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
start_entry second $net.0.12 "$proxy_ip:${store#*:}"
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"

acknowledged=0
for round in $(seq "$rounds"); do
  id=00000000000000c$round
  # The second entry greets the owner each second.
  sleep 1.5
  kill -USR1 "$outage"
  sleep 0.4
  status=$(call "http://$net.0.11:29161/p/$id" --data '{"spec":"x","steps":[{"count":1,"cpu":1000,"estimate_ms":200}]}')
  [ "$status" = 200 ] || fail "the job was answered with $status"
  sleep 1.4
  kill -STOP "$first"
  status=$(call -X DELETE "http://$net.0.12:29161/p/$id")
  kill -CONT "$first"
  [ "$status" != 410 ] || fail "an accepted job is unknown"
  [ "$status" = 200 ] || continue
  acknowledged=$((acknowledged + 1))
  sleep 1
  call "http://$net.0.11:29161/p/$id" >/dev/null
  grep -q cancelled "$dir/body" || fail "round $round: the cancel was answered with 200, the job is $(cat "$dir/body")"
done
[ "$acknowledged" -gt 0 ] || fail "no cancel was acknowledged"
echo "$acknowledged of $rounds cancels were acknowledged and took effect"
