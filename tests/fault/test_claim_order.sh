#!/usr/bin/env bash
# Of entries that start together, one with a larger CPU share becomes the owner of the jobs, although
# a smaller one starts first; also after the owner was killed.
set -euo pipefail
source "$(dirname "$0")/users.sh"

# Difference between the start times of machines.
skew_s=0.3
start_store 2
# shellcheck disable=SC2034
entry_settings='limits.cpu_share = "0.069"'
start_entry small $net.0.11
sleep "$skew_s"
# shellcheck disable=SC2034
entry_settings='limits.cpu_share = "0.5"'
start_entry large $net.0.12
start_entry other $net.0.14
# await_terms N: waits until N takeovers by owners are logged.
await_terms() {
  for _ in $(seq 100); do
    [ "$(cat "$dir"/*.log | grep -c "owner took_over")" -lt "$1" ] || return 0
    sleep 0.1
  done
  fail "fewer than $1 takeovers were logged"
}

await_terms 1
grep -q "owner took_over" "$dir/small.log" && fail "the small entry owns the jobs"

owner=large
grep -q "owner took_over" "$dir/other.log" && owner=other
kill -KILL "${pids[$([ "$owner" = large ] && echo 2 || echo 3)]}"
await_terms 2
grep -q "owner took_over" "$dir/small.log" && fail "the small entry owns the jobs after the owner was killed"
echo "larger entries became owners"
