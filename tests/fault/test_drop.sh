#!/usr/bin/env bash
# A job that ended longer than jobs.state_s ago is deleted from the store and unknown at every entry; an
# open job is kept. Both also hold for an entry that starts afterwards.
set -euo pipefail
source "$(dirname "$0")/users.sh"

ended=00000000000000aa
open=00000000000000bb
# Twice the time for which states are kept, plus an owner's heartbeat and a read.
dropped_ms=4000
# shellcheck disable=SC2034
entry_settings='jobs.state_s = 1'

submit() {
  curl -sf -H 'Host: h.example' --data '{"spec":"x","steps":[{"count":1,"cpu":100}]}' \
    "http://$1:29161/p/$2" || fail "job $2 was not accepted"
}

# status IP ID
status() {
  curl -s -o /dev/null -w '%{http_code}' -H 'Host: h.example' "http://$1:29161/p/$2"
}

start_store 2
start_entry first $net.0.11
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
start_entry second $net.0.12
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"
submit $net.0.11 "$ended"
submit $net.0.11 "$open"
curl -sf -X DELETE -H 'Host: h.example' "http://$net.0.12:29161/p/$ended" || fail "not cancelled"
[ "$(status $net.0.12 "$ended")" = 200 ] || fail "the cancelled job is unknown"

wait_line "$dir/first.log" "owner jobs_dropped.*count=1" "$dropped_ms" || fail "no job was dropped"
sleep 0.5
for ip in $net.0.11 $net.0.12; do
  [ "$(status "$ip" "$ended")" = 410 ] || fail "$ip still knows the ended job"
  [ "$(status "$ip" "$open")" = 200 ] || fail "$ip does not know the open job"
done
curl -s "http://$store/log-newest?topic=keyed.acaciadale&part=0" >"$dir/newest"
! grep -q "$ended" "$dir/newest" || fail "the store still has records of the ended job"
grep -q "job.$open" "$dir/newest" || fail "the store has lost the open job"
start_entry third $net.0.14
wait_line "$dir/third.log" "config applied" 8000 || fail "the third entry has no configuration"
[ "$(status $net.0.14 "$ended")" = 410 ] || fail "a new entry knows the ended job"
[ "$(status $net.0.14 "$open")" = 200 ] || fail "a new entry does not know the open job"
echo "dropped in time"
