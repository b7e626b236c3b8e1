#!/usr/bin/env bash
# An entry that gets 503 or no answers from the store still serves its callers by forwarding to an entry
# that reaches the store: jobs are accepted once, states are returned, cancels take effect.
set -euo pipefail

source "$(dirname "$0")/users.sh"

# Time limit of a caller.
deadline_ms=3000

send_request() {
  curl -s -m 5 -o "$dir/body" -w '%{http_code} %{time_total}' -H 'Host: h.example' "$@"
}

# expect STATUS MS CURL...: expects an answer with this status within this time.
expect() {
  local status=$1 ms=$2 got seconds
  shift 2
  read -r got seconds < <(send_request "$@") || true
  [ "$got" = "$status" ] || fail "status $got, expected $status: $*"
  awk -v s="$seconds" -v ms="$ms" 'BEGIN { exit !(s * 1000 <= ms) }' || fail "took $seconds s: $*"
}

expect_state() {
  local url=$1 state=$2
  for _ in $(seq 40); do
    expect 200 "$deadline_ms" "$url"
    grep -q "\"$state\"" "$dir/body" && return
    sleep 0.05
  done
  fail "state at $url is $(cat "$dir/body"), expected $state"
}

run_scenario() {
  local signal=$1 job=$2 isolated=http://$net.0.12:29161/p connected=http://$net.0.11:29161/p
  local body='{"spec":"x","steps":[{"count":1,"cpu":100}]}'

  kill -"$signal" "${pids[0]}"
  # The first call detects the failure, later ones are forwarded without delay.
  expect 200 "$deadline_ms" --data "$body" "$isolated/${job}1"
  expect 200 "$deadline_ms" --data "$body" "$isolated/${job}2"
  expect_state "$connected/${job}1" queued
  expect_state "$connected/${job}2" queued
  sleep 3
  expect 200 500 --data "$body" "$isolated/${job}3"
  # Repeated submissions at both entries result in one job.
  expect 200 500 --data "$body" "$isolated/${job}3"
  expect 200 500 --data "$body" "$connected/${job}3"
  expect_state "$isolated/${job}3" queued
  expect 200 500 -X DELETE "$isolated/${job}3"
  expect_state "$connected/${job}3" cancelled
  expect_state "$isolated/${job}3" cancelled
}

start_store 0
start_entry well $net.0.11
wait_line "$dir/well.log" "owner took_over" 8000 || fail "the first entry never became the owner"
start_entry away $net.0.12 "$second_store"
wait_line "$dir/away.log" "config applied" 8000 || fail "the second entry has no configuration"
sleep 2.5

run_scenario USR1 00000000000000a
run_scenario USR2 00000000000000b
echo "served by forwarding to another entry"
