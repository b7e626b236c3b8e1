#!/usr/bin/env bash
# Misbehaving clients at the HTTP address of acacia-entry. Guards against memory that grows with the number of
# connections, and against a crowd that keeps others out.
set -euo pipefail
source "$(dirname "$0")/common.sh"

address=$net.0.64:29180
growth_kb=32000
descriptors_max=300

"$BUILD/bin/standin-log" --port 29190 >"$dir/log.log" 2>&1 &
pids+=($!)
cat >"$dir/entry.toml" <<TOML
name = "entry"
data_centre = "d"
http.host = "${address%:*}"
http.port = ${address#*:}
http.connections_max = 200
http.idle_ms = 30000
wire.listen = "tcp://$net.0.64:29181"
log.host = "127.0.0.1"
log.port = 29190
$(setting acacia-entry 'http.buffer_bytes = 4194304')
TOML
"$PROGRAMS/acacia-entry" --config "$dir/entry.toml" >"$dir/entry.log" 2>&1 &
entry=$!
pids+=("$entry")

healthy() { [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' "http://$address/healthz" || true)" = 200 ]; }
for _ in $(seq 100); do
  ! healthy || break
  sleep 0.1
done
healthy || fail "acacia-entry did not start"
for path in /v1/jobs /other/path; do
  for crowd in "whole 300 900000" "pieces 300 100000" "chunked 300 500000" "whole 100 5000000" "headers 300 60000" \
    "pipeline 300 300000" "slow 300 2000"; do
    before=$(memory_kb "$entry")
    # shellcheck disable=SC2086
    crowd "$address" $crowd "$path"
    check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "$crowd $path"
    healthy || fault "$crowd $path: GET /healthz was not answered"
    curl -s -m 10 "http://$address/v1/status" >"$dir/status.json" && grep -q '{' "$dir/status.json" \
      || fault "$crowd $path: GET /v1/status was not answered"
    leave_crowd
  done
done
report_faults
