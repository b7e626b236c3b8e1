#!/usr/bin/env bash
# Many connections with endless headers, unread pipelined requests, or slow senders at the callers' address.
# Guards against connections that keep others out, and descriptors without bound.
set -euo pipefail
source "$(dirname "$0")/common.sh"

growth_kb=24000
# 200 connections are allowed; the process itself has about 30.
descriptors_max=300

start_installation
for path in /p/00000000000000ff /other/path; do
  for crowd in "headers 400 60000" "pipeline 400 300000" "slow 400 2000"; do
    before=$(memory_kb "$entry")
    # shellcheck disable=SC2086
    crowd "$entry_ip:29161" $crowd "$path"
    check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "$crowd $path"
    check_job "$crowd $path"
    check_ready "$crowd $path"
    leave_crowd
  done
done
report_faults
