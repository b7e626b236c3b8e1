# Common functions of the fault tests: cluster settings, documents and queries.
# shellcheck shell=bash disable=SC2034

source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/cluster.sh"

# Short leases keep the tests short; the time limits below are derived from them.
LEASE_MS=2000
FRESH_MS=1000
DRIFT_MS=200
TAKEOVER_S=$(((LEASE_MS + FRESH_MS) / 1000 + 2))
CONFIG_S=4
LEAVING_S=2
AT_ONCE_MS=1000
ENTRY_EXTRA="lease_ms = $LEASE_MS
fresh_ms = $FRESH_MS
drift_ms = $DRIFT_MS
snapshot_every_ms = 5000"
# The lease must be several times an agent's margin, heartbeat and poll interval.
AGENT_EXTRA="lease_margin_ms = 200
heartbeat_ms = 200
worker.poll_ms = 100"

# A configuration with a service only.
service_document() {
  cat <<TOML
[service.$SERVICE]
requests = "repeatable"
slots = 8
connections = 64
timeout_ms = ${SERVICE_TIMEOUT_MS:-5000}
TOML
}

# A configuration with jobs only: without a service no instance waits for interference measurements.
batch_document() {
  cat <<TOML
[job.steady]
tasks = ${STEADY_TASKS:-6}
cpu_milli = 1000
memory_mb = 256
run_ms = ${STEADY_RUN_MS:-4000}
checkpoint_ms = 200

[policy]
report_lag_ms = 1000
TOML
}

# publish FUNCTION: publishes the function's output and waits until it is in force in all processes.
publish() {
  local name
  "$1" >"$CLUSTER_DIR/document.toml"
  VERSION=$(ctl --json apply "$CLUSTER_DIR/document.toml" | jq -r .version) || fail "publish $1"
  for name in "${!PID[@]}"; do
    case "$name" in
      entry-* | agent-*)
        wait_for "$CONFIG_S" "$name has configuration $VERSION in force" has_config "$name" "$VERSION"
        ;;
    esac
  done
}

submit() { ctl --json submit "$1" --key "$2" | jq -r .job; }
job_state() { ctl --json job "$1" | jq -r .state; }
job_is() { [ "$(job_state "$1")" = "$2" ]; }

# Number of running attempts on the reachable workers.
running_tasks() { history | jq -s 'map(select(.end_ms == null)) | length'; }
runs_at_least() { [ "$(running_tasks)" -ge "$1" ]; }
owner_of() { ctl --json status | jq -r ".shards[$1].owner"; }
owner_is_not() { local now; now=$(owner_of 0) && [ -n "$now" ] && [ "$now" != "$1" ]; }

other_entry() { [ "$1" = entry-1 ] && echo entry-2 || echo entry-1; }

# Reads an answer that call printed; prints the error's kind and "ran".
error_of() { jq -r '"\(.error.kind) \(.error.ran)"'; }

# once ENTRY KEY BODY [curl arguments]: sends an at-most-once request, dated DATE_MS or now.
once() {
  local entry=$1 key=$2 body=$3
  shift 3
  call "$entry" deliver -H "Acacia-Kind: once" -H "Idempotency-Key: $key" \
    -H "Acacia-Date-Ms: ${DATE_MS:-$(now_ms)}" -d "$body" "$@"
}

# Number of attempts that ended before their task was done, according to the workers.
evicted_attempts() {
  history | jq -s 'map(select(.state == "checkpointed" or .state == "stopped")) | length'
}

# Invariants after any fault: no task ran in two places, none was done twice.
check_tasks() {
  check_equal "no task ran in two places at once" 0 "$(overlaps)"
  check_equal "no task was done twice" 0 "$(done_twice)"
}
