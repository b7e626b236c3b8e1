#!/usr/bin/env bash
# SIGTERM that arrives before a program handles it: it leaves in order and exits with 0.
set -euo pipefail

source "$(dirname "$0")/users.sh"
cat >"$dir/agent.toml" <<TOML
name = "agent"
ip = "$net.0.61"
worker.listen = "$net.0.61:29166"
worker.call = "$net.0.61:29165"
internal.metrics_port = 29121
store.address = "$net.0.61:29100"
TOML
# The signal is pending from before exec until the program unblocks it.
timeout -s KILL 10 env --block-signal=TERM bash -c 'kill -TERM $$; exec "$0" --config "$1"' \
  "$BUILD/bin/acacia-worker" "$dir/agent.toml" >"$dir/log" 2>&1 || {
  echo "FAIL: the agent exited with $?"
  cat "$dir/log"
  exit 1
}
grep -q 'node leaving' "$dir/log"
