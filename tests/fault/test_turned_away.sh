#!/usr/bin/env bash
# An entry that the store turns away, or that hears nothing of it, goes on to serve its callers through
# an entry that the store serves: jobs are accepted once, states told, cancels written.
set -euo pipefail

source "$(dirname "$0")/users.sh"

# A caller waits this long for an answer.
deadline_ms=3000

ask() {
  curl -s -m 5 -o "$dir/body" -w '%{http_code} %{time_total}' -H 'Host: h.example' "$@"
}

# expect STATUS MS CURL...: an answer of that status within that time.
expect() {
  local status=$1 ms=$2 got seconds
  shift 2
  read -r got seconds < <(ask "$@") || true
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

play() {
  local signal=$1 job=$2 away=http://127.0.0.12:29161/p well=http://127.0.0.11:29161/p
  local body='{"spec":"x","steps":[{"count":1,"cpu":100}]}'

  kill -"$signal" "${pids[0]}"
  # The first call finds out, later ones know.
  expect 200 "$deadline_ms" --data "$body" "$away/${job}1"
  expect 200 "$deadline_ms" --data "$body" "$away/${job}2"
  expect_state "$well/${job}1" queued
  expect_state "$well/${job}2" queued
  sleep 3
  expect 200 500 --data "$body" "$away/${job}3"
  # Submitted again, here and there, it is one job.
  expect 200 500 --data "$body" "$away/${job}3"
  expect 200 500 --data "$body" "$well/${job}3"
  expect_state "$away/${job}3" queued
  expect 200 500 -X DELETE "$away/${job}3"
  expect_state "$well/${job}3" cancelled
  expect_state "$away/${job}3" cancelled
}

start_store 0
start_entry well 127.0.0.11
wait_line "$dir/well.log" "owner took_over" 8000 || fail "the first entry never owned the jobs"
start_entry away 127.0.0.12 "$second_store"
wait_line "$dir/away.log" "config applied" 8000 || fail "the second entry has no configuration"
sleep 2.5

play USR1 00000000000000a
play USR2 00000000000000b
echo "served through another entry"
