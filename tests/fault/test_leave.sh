#!/usr/bin/env bash
# SIGTERM under load: an entry aborts no request and exits with 0 in time; so does an agent whose worker
# continues to report.
set -euo pipefail
source "$(dirname "$0")/users.sh"

# Default time between SIGTERM and SIGKILL.
leave_s=6
jobs=25

start_store 20
start_entry entry $net.0.11
wait_line "$dir/entry.log" "owner took_over" 8000 || fail "the entry never became the owner"

# submit N: submits a job; writes curl's exit code and the HTTP status to a file.
submit() {
  local status code=0
  status=$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: h.example' \
    --data '{"spec":"x","steps":[{"count":1,"cpu":100}]}' \
    "http://$net.0.11:29161/p/$(printf '%016x' "$1")") || code=$?
  echo "$code $status" >"$dir/job-$1"
}

load=()
for n in $(seq "$jobs"); do
  submit "$n" &
  load+=($!)
  [ "$n" -ne 10 ] || kill -TERM "${pids[1]}"
  sleep 0.05
done
wait "${load[@]}"
# A stopping entry accepts connections for 2.6 s, until the load balancer has noticed; all these calls
# arrive earlier.
[ "$(cat "$dir"/job-* | sort | uniq -c | tr -s ' ')" = " $jobs 0 200" ] \
  || fail "not every job was accepted: $(cat "$dir"/job-* | sort | uniq -c)"
start=$SECONDS
wait "${pids[1]}" || fail "the entry exited with $?"
[ $((SECONDS - start)) -le "$leave_s" ] || fail "the entry took $((SECONDS - start)) s to exit"

cat >"$dir/agent.toml" <<TOML
name = "agent"
ip = "$net.0.13"
worker.listen = "$net.0.13:29166"
worker.call = "$net.0.13:29165"
internal.metrics_port = 29121
store.address = "$store"
TOML
"$BUILD/bin/acacia-worker" --config "$dir/agent.toml" >"$dir/agent.log" 2>&1 &
agent=$!
pids+=("$agent")
wait_line "$dir/agent.log" "node started" 8000 || fail "the agent never started"
report='{"service":"s","zone":"z","state":"ready","seq":1,"capacity":{"cpu":1,"mem_mb":1},"labels":[]}'
for n in $(seq 20); do
  curl -sf -o /dev/null -X PUT --data "$report" "http://$net.0.13:29166/instances/i-1" \
    || fail "report $n was not accepted"
  [ "$n" -ne 20 ] || kill -TERM "$agent"
done
wait "$agent" || fail "the agent exited with $?"
echo "both exited in time"
