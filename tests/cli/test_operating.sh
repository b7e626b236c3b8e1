#!/usr/bin/env bash
# Runs the commands of docs/OPERATING.md in order against a cluster; each must succeed.
set -uo pipefail
source "$(dirname "$0")/../../scripts/cluster.sh"

cluster_init mezcla
cluster_start 3 2
commands=$CLUSTER_DIR/commands.sh
sed -n '/^```sh$/,/^```$/{/^```/d;p}' "$CLUSTER_ROOT/docs/OPERATING.md" >"$commands"
check "the page has commands" test "$(grep -c acaciactl "$commands")" -ge 15

acaciactl() { ctl "$@"; }
cd "$CLUSTER_ROOT" || fail "no $CLUSTER_ROOT"
set -eE -o pipefail
trap 'fail "a command of docs/OPERATING.md: $BASH_COMMAND"' ERR
# shellcheck disable=SC1090
source "$commands" >"$CLUSTER_DIR/commands.out"
trap - ERR
set +eE
rm -f /tmp/acacia-previous.toml /tmp/acacia-drain.toml
say "ok: all commands succeeded"

# Every counter that the page names must be defined in lib/ or programs/.
for counter in $(grep -o '^| `acacia_[a-z_]*' "$CLUSTER_ROOT/docs/OPERATING.md" | tr -d '|` ' | sort -u); do
  check "counter $counter exists" grep -rqF "\"$counter\"" "$CLUSTER_ROOT/lib" "$CLUSTER_ROOT/programs"
done
