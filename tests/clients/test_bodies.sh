#!/usr/bin/env bash
# Bodies that stop just short of their end, or are far over the limit, on open connections at the callers' address.
# Guards against memory that grows with the number of connections, and against a crowd that keeps others out.
set -euo pipefail
source "$(dirname "$0")/common.sh"

# 300 bodies of 200,000 bytes are 60 MB; the settings allow 2 MiB, and 200 connections.
bodies=300
body_bytes=200000
growth_kb=24000
descriptors_max=300

start_installation
for path in /p/00000000000000ff /other/path; do
  for kind in whole pieces chunked; do
    before=$(memory_kb "$entry")
    crowd "$entry_ip:29161" "$kind" "$bodies" "$body_bytes" "$path"
    check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "$kind $path"
    check_job "$kind $path"
    check_ready "$kind $path"
    leave_crowd
  done
  before=$(memory_kb "$entry")
  crowd "$entry_ip:29161" whole 100 3000000 "$path"
  check_bounds "$entry" "$before" "$growth_kb" "$descriptors_max" "over the limit $path"
  check_job "over the limit $path"
  leave_crowd
done
# The crowd's memory goes back to the system some seconds after it left.
resident=0
for _ in $(seq 100); do
  resident=$(awk '/^VmRSS:/ {print $2}' "/proc/$entry/status")
  [ "$resident" -gt 45000 ] || break
  sleep 0.1
done
has_sanitizer || [ "$resident" -le 45000 ] || fault "$resident KB are resident after the crowds"
report_faults
