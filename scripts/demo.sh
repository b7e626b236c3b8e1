#!/usr/bin/env bash
# End-to-end demo with real processes; each step is checked:
#   scripts/demo.sh [mezcla|zinsverbund]      (without an argument: both, one after the other)
#   scripts/demo.sh mezcla load [SECONDS]     runs acacia-load instead of the checks
# Starts the stand-ins (1 log, 3 workers, 3 service back ends), 2 entries and 3 agents, all on 127.0.0.1.
# Exits non-zero at the first failed check; stops all processes on exit.
set -uo pipefail

if [ $# -eq 0 ]; then
  "$0" mezcla && "$0" zinsverbund
  exit
fi

# shellcheck source=scripts/cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/cluster.sh"

INSTANCES=3
ENTRIES=2
CONFIG_S=4
REPORT_LAG_MS=1000
STARTED=$SECONDS

cluster_init "$1"
document=$CLUSTER_DIR/document.toml

# Writes the deployment's example document with short jobs for the checks below and the report lag of the
# stand-ins.
write_document() {
  sed "s/^report_lag_ms = .*/report_lag_ms = $REPORT_LAG_MS/" \
    "$CLUSTER_ROOT/examples/$DEPLOYMENT/document.toml" >"$document"
  cat >>"$document" <<TOML

[job.demo-render]
tasks = 3
cpu_milli = 500
memory_mb = 256
run_ms = 500
checkpoint_ms = 100

[job.demo-impossible]
tasks = 1
cpu_milli = 900000
run_ms = 500

[[rule]]
name = "demo-in-second-group"
effect = "may"
work = "name = demo-render"
instances = "group = g2"
TOML
}

job_state() { ctl --json job "$1" | jq -r .state; }
job_is() { [ "$(job_state "$1")" = "$2" ]; }
explains() { ctl --json explain "$1" | grep -q "$2"; }

check_configuration() {
  local version wrong=$CLUSTER_DIR/wrong.toml name i refusal
  write_document
  version=$(ctl --json apply "$document" --note demo | jq -r .version) || fail "apply"
  for ((i = 1; i <= ENTRIES; i++)); do
    wait_for "$CONFIG_S" "entry-$i has configuration $version in force" has_config "entry-$i" "$version"
  done
  for ((i = 1; i <= INSTANCES; i++)); do
    wait_for "$CONFIG_S" "agent-$i has configuration $version in force" has_config "agent-$i" "$version"
  done
  sed 's/^connections = .*/connections = "many"/' "$document" >"$wrong"
  refusal=$(ctl apply "$wrong" 2>&1) && fail "a wrong document was accepted"
  check "the refusal names file, line, key and what was expected" \
    grep -Eq "wrong\.toml:[0-9]+: service\.$SERVICE\.connections: expected an integer" <<<"$refusal"
  refusal=$(curl -sS -X PUT --data-binary "@$wrong" \
    "$(url_of entry-2)/v1/config?base=$version&author=demo&note=wrong")
  check "an entry refuses it too" grep -q bad_config <<<"$refusal"
  for name in entry-1 entry-2; do
    check_equal "$name still has version $version" "$version" "$(config_version "$name")"
  done
}

check_requests() {
  local preview first second key=demo-once-1 i
  for ((i = 1; i <= ENTRIES; i++)); do
    preview=$(call_full "entry-$i" preview/cut -H "Acacia-Kind: repeatable" -d "cut $i")
    check "a preview through entry-$i is answered" grep -q '^HTTP/1.1 200' <<<"$preview"
    check_equal "its answer is complete" "$TENANT 5" \
      "$(body_of <<<"$preview" | jq -r '"\(.tenant) \(.length)"')"
  done
  mapfile -t once < <(once_args "$key")
  first=$(call entry-1 deliver "${once[@]}" -d master) || fail "first once request"
  second=$(call entry-2 deliver "${once[@]}" -d master) || fail "second once request"
  check_equal "both callers of a once request get the same answer" "$first" "$second"
  check_equal "it ran once" 1 "$(runs_of "$key")"
}

check_jobs() {
  local job impossible
  impossible=$(ctl --json submit demo-impossible --key imp-1 | jq -r .job) || fail "submit"
  job=$(ctl --json submit demo-render --key render-1 | jq -r .job) || fail "submit"
  wait_for 20 "the job is done" job_is "$job" done
  check "explain names the rule that placed it" explains "$job" demo-in-second-group
  check_equal "it ran only on the instance that its selector allows" "0 3 0" \
    "$(starts_on 1) $(starts_on 2) $(starts_on 3)"
  wait_for 10 "explain gives the reason for the impossible job" explains "$impossible" too_large
  ctl explain "$job"
}

# starts_on INDEX: number of attempts that the worker has started.
starts_on() {
  curl -fsS -m 5 "$(url_of "worker-$1")/v1/history" \
    | jq '[.tasks[].attempts[]] | length'
}

check_shutdown() {
  local out=$CLUSTER_DIR/slow.answer caller i
  fault service-1 '{"mode":"slow","count":1,"delay_ms":2000}'
  send_slow_request "$out" &
  caller=$!
  wait_for 5 "a request is in flight at agent-1" running_at service-1
  terminate agent-1
  sleep 2
  local before
  before=$(completed_at service-1)
  for ((i = 0; i < 10; i++)); do call entry-1 preview/after -H "Acacia-Kind: repeatable" -d x >/dev/null || fail "preview"; done
  wait "$caller" || fail "the request in flight was aborted"
  check "the request in flight got a complete answer" test "$(jq -r .length "$out")" = 12
  wait_for 10 "agent-1 has exited" has_exited agent-1
  wait "${PID[agent-1]}"
  check_equal "its exit code is 0" 0 $?
  unset "PID[agent-1]"
  check "its endpoint got no new requests during the shutdown" test "$(completed_at service-1)" -le $((before + 1))
}

# Sends one request through entry-1; service-1, which is slow, is expected to run it.
send_slow_request() { call entry-1 preview/slow -H "Acacia-Kind: repeatable" -d slow-request >"$1"; }
running_at() { [ "$(curl -fsS -m 2 "$(url_of "$1")/stats" | jq -r .running)" -ge 1 ]; }
completed_at() { curl -fsS -m 2 "$(url_of "$1")/stats" | jq -r .total; }

# run_load SECONDS: requests of both kinds, direct calls to a back end and job submissions at once.
run_load() {
  write_document
  ctl apply "$document" --note load >/dev/null || fail "apply"
  wait_for "$CONFIG_S" "configuration is in force" has_config agent-1 1
  "$BIN/acacia-load" --entry "$(url_of entry-1)" --entry "$(url_of entry-2)" \
    --direct "$(url_of service-1)" --service "$SERVICE" --rate "${LOAD_RATE:-200}" \
    --seconds "$1" --threads 64 --job demo-render --jobs-per-minute 6 --job-wait-s 60
}

say "== $DEPLOYMENT: processes"
cluster_start "$INSTANCES" "$ENTRIES"
if [ "${2:-}" = load ]; then
  run_load "${3:-20}" || fail "acacia-load"
  exit
fi
say "== 1 configuration"
check_configuration
say "== 2 requests"
check_requests
say "== 3 batch jobs"
check_jobs
say "== 4 shutdown"
check_shutdown
say "demo $DEPLOYMENT: all checks passed in $((SECONDS - STARTED)) s"
