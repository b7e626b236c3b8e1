#!/usr/bin/env bash
# Misbehaving clients at the readiness address and the metrics address of an entry. Guards against an entry
# that leaves the load balancer's rotation because others hold the probe's connections.
set -euo pipefail
source "$(dirname "$0")/common.sh"

growth_kb=12000
descriptors_max=200

start_installation
for address in "$entry_ip:29167" "$entry_ip:29121"; do
  for crowd in "whole 60 200000" "pieces 60 200000" "chunked 60 200000" "whole 60 3000000" "headers 60 60000" \
    "pipeline 60 300000" "slow 60 2000"; do
    before=$(memory_kb "$entry")
    # shellcheck disable=SC2086
    crowd "$address" $crowd /ready
    check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "$crowd $address"
    check_ready "$crowd $address"
    curl -s -m 10 "http://$entry_ip:29121/metrics" | grep -q acacia_accepted_total \
      || fault "$crowd $address: GET /metrics was not answered"
    leave_crowd
  done
  check_job "$address"
done
report_faults
