#!/usr/bin/env bash
# Graceful stop of an agent and of an entry: no request in flight is aborted, and a stopping agent's
# endpoint gets no new requests after two seconds.
set -uo pipefail
source "$(dirname "$0")/common.sh"

SERVICE_MS=20
SERVICE_TIMEOUT_MS=15000
# Longer than any other delay of a stopping process than the wait for its requests.
SLOW_MS=6000
CALLS=12
cluster_init mezcla
cluster_start 2 2
publish service_document

total_of() { curl -fsS -m 5 "$(url_of "$1")/stats" | jq -r .total; }
running_of() { curl -fsS -m 5 "$(url_of "$1")/stats" | jq -r .running; }
both() { echo $(($("$1" service-1) + $("$1" service-2))); }
all_run() { [ "$(both running_of)" -eq "$CALLS" ]; }

# stop_under_load NAME: starts CALLS slow requests, waits until all run at the endpoints, stops NAME.
stop_under_load() {
  local name=$1 i callers=() before
  before=$(both total_of)
  fault service-1 "{\"mode\":\"slow\",\"for_ms\":1000,\"delay_ms\":$SLOW_MS}"
  fault service-2 "{\"mode\":\"slow\",\"for_ms\":1000,\"delay_ms\":$SLOW_MS}"
  for ((i = 0; i < CALLS; i++)); do
    call "$([ $((i % 2)) = 0 ] && echo entry-1 || echo entry-2)" cut -d "cut $i" \
      -o "$CLUSTER_DIR/answer-$i" -w '%{http_code}' >"$CLUSTER_DIR/status-$i" 2>/dev/null &
    callers+=($!)
  done
  wait_for 5 "all requests are in flight" all_run
  terminate "$name"
  wait "${callers[@]}"
  for ((i = 0; i < CALLS; i++)); do
    check_equal "request $i was answered" 200 "$(cat "$CLUSTER_DIR/status-$i")"
  done
  # A request that was aborted and retried elsewhere would count twice.
  check_equal "each ran once" "$CALLS" $(($(both total_of) - before))
}

check_clean_exit() {
  wait_for 15 "$1 has exited" has_exited "$1"
  wait "${PID[$1]}"
  check_equal "its exit code is 0" 0 $?
  unset "PID[$1]"
}

say "== an agent is stopped"
stop_under_load agent-1
check_clean_exit agent-1
sleep "$LEAVING_S"
before=$(total_of service-1)
for ((i = 0; i < CALLS; i++)); do
  check_equal "request $i is answered by another endpoint" 200 "$(call_status entry-1 cut -d x)"
done
check_equal "the stopped agent's endpoint got no new requests" "$before" "$(total_of service-1)"

say "== the agent is restarted"
start_agent 1
wait_for 10 "agent-1 is ready" is_ready agent-1
served() { call entry-1 cut -d x >/dev/null && [ "$(total_of service-1)" -gt "$before" ]; }
wait_for 10 "its endpoint is used again" served

say "== an entry is stopped"
stop_under_load entry-2
check_clean_exit entry-2
check_equal "the other entry still serves" 200 "$(call_status entry-1 cut -d x)"
