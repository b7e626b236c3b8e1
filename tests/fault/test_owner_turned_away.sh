#!/usr/bin/env bash
# The store turns the owner's instance away, or does not answer it, and serves the other one. Guards against jobs that
# nobody starts for as long as the owner keeps its authority: the other entry takes over before that has run out.
set -euo pipefail
source "$(dirname "$0")/users.sh"

# An owner keeps its authority for this long after its newest heartbeat.
authority_ms=3000

# take_over SIGNAL: an owner loses the store by the signal to its stand-in; the other entry takes over.
take_over() {
  local quiet pid
  start_store 0
  start_entry "away-$1" $net.0.12 "$second_store"
  wait_line "$dir/away-$1.log" "owner took_over" 8000 || fail "the first entry never became the owner"
  start_entry "well-$1" $net.0.11
  wait_line "$dir/well-$1.log" "config applied" 8000 || fail "the second entry has no configuration"
  sleep 2.5
  kill -"$1" "${pids[0]}"
  wait_line "$dir/well-$1.log" "owner took_over" 10000 || fail "$1: nobody took over"
  quiet=$(grep "owner claim " "$dir/well-$1.log" | tail -n 1 | sed 's/.*quiet_ms=\([0-9]*\).*/\1/')
  [ "$quiet" -lt "$authority_ms" ] || fail "$1: the claim came $quiet ms after the owner's last heartbeat"
  grep -q "owner resigned term=1 reason=turned_away" "$dir/away-$1.log" || fail "$1: the owner did not resign"
  echo "$1: claimed $quiet ms after the last heartbeat"
  for pid in "${pids[@]}"; do
    kill "$pid"
    wait "$pid" || true
  done
  pids=()
}

take_over USR1
take_over USR2
