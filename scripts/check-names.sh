#!/usr/bin/env bash
# Checks that wire names of the users' platform occur in platform/ only, not in lib/ and programs/.
set -euo pipefail
cd "$(dirname "$0")/.."

names=(
  run-start run-stop log-append log-read log-newest log-trim log-join log-commit
  machine-move machine-upkeep X-Target-Instance X-Request-Deadline-Ms X-Fencing-Token
  fencing_token last_seen last_checkpoint path_prefix max_per_server long_running
  enforces_capacity heartbeat_addr cold_left_ms required_label target_latency_ms
  '"keyed\.' '"evacuate/'
)
pattern=$(IFS='|'; echo "${names[*]}")
if grep -rnE "$pattern" lib programs --include='*.[ch]' --include='*.cc' --include='*.proto'; then
  echo "names: wire names outside platform/, see above" >&2
  exit 1
fi
lines=$(cat platform/*.[ch] | wc -l)
if [ "$lines" -gt 2000 ]; then
  echo "names: platform/ has $lines lines, more than 2000" >&2
  exit 1
fi
echo "names: none outside platform/ ($lines lines there)"
