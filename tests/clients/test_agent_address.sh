#!/usr/bin/env bash
# Misbehaving clients at the address where an agent receives its worker's reports. Guards against reports that
# are not received, and against memory beyond that of the instance.
set -euo pipefail
source "$(dirname "$0")/common.sh"

# A report may have 1 MiB. 64 of them just short of their end are 64 MB.
growth_kb=40000
descriptors_max=200

# check_report WHAT: a report about a worker is received.
check_report() {
  local report='{"service":"s","zone":"z","state":"ready","seq":1,"capacity":{"cpu":1,"mem_mb":1},"labels":[]}'
  [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' -X PUT --data "$report" \
    "http://$agent_ip:29166/instances/i-$runner_ip")" = 200 ] || fault "$1: the report was not received"
}

start_installation
check_report "before"
for path in "/instances/i-9" /other/path; do
  for crowd in "whole 120 1000000" "pieces 120 300000" "chunked 120 1000000" "whole 120 5000000" "headers 120 60000" \
    "pipeline 120 300000" "slow 120 2000"; do
    before=$(memory_kb "$agent")
    # shellcheck disable=SC2086
    crowd "$agent_ip:29166" $crowd "$path"
    check_bounds "$agent" "$before" "$growth_kb" "$descriptors_max" "$crowd $path"
    check_report "$crowd $path"
    leave_crowd
  done
done
# A job runs: the worker's own reports are received as well.
check_job "after the crowds"
report_faults
