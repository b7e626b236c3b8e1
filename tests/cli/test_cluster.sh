#!/usr/bin/env bash
# Blocks of ports of scripts/cluster.sh: which lock folders are taken over.
set -uo pipefail
source "$(dirname "$0")/../../scripts/cluster.sh"

base=64001 # Above the blocks that clusters use; its ports are not used.
lock=/tmp/acacia-ports-$base
block_is_free() { true; }
CLUSTER_DIR=$(mktemp -d)
trap 'rm -rf "$lock" "$CLUSTER_DIR"' EXIT
rm -rf "$lock"

check "a new block is reserved" reserve_block "$base"
check_equal "its lock holds the process id" $$ "$(cat "$lock/pid")"
echo "$PPID" >"$lock/pid"
check "a block of a running process is not reserved" eval '! reserve_block "$base"'
echo 999999999 >"$lock/pid"
check "a block of a process that has exited is taken over" reserve_block "$base"
rm "$lock/pid"
check "a lock without a process id is not taken over at once" eval '! reserve_block "$base"'
touch -d '2 minutes ago' "$lock"
check "a lock without a process id is taken over after a minute" reserve_block "$base"
