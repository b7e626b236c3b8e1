#!/usr/bin/env bash
# Configurations: when two operators publish concurrently, exactly one succeeds. An accepted version is
# in force in all processes within 4 s, also in one that starts while the log is down, and no process
# returns to an older version.
set -uo pipefail
source "$(dirname "$0")/common.sh"

RACES=6
cluster_init mezcla
cluster_start 2 2
publish service_document

# put ENTRY BASE AUTHOR: publishes the document; prints the HTTP status.
put() {
  curl -sS -m 10 -o "$CLUSTER_DIR/put-$3" -w '%{http_code}' -X PUT \
    --data-binary "@$CLUSTER_DIR/document.toml" "$(url_of "$1")/v1/config?base=$2&author=$3&note=race"
}

in_force_everywhere() {
  local name
  for name in "${!PID[@]}"; do
    case "$name" in entry-* | agent-*) has_config "$name" "$1" || return 1 ;; esac
  done
}

say "== concurrent operators"
for ((round = 1; round <= RACES; round++)); do
  base=$(config_version entry-1)
  put entry-1 "$base" ana >"$CLUSTER_DIR/status-ana" &
  put entry-2 "$base" ben >"$CLUSTER_DIR/status-ben"
  wait $!
  check_equal "round $round: exactly one succeeds" "200 409" \
    "$(sort "$CLUSTER_DIR/status-ana" "$CLUSTER_DIR/status-ben" <(echo) | xargs -n1 echo | xargs)"
  loser=$([ "$(cat "$CLUSTER_DIR/status-ana")" = 409 ] && echo ana || echo ben)
  check_equal "round $round: the other gets the reason" "stale_base" \
    "$(jq -r .error.kind "$CLUSTER_DIR/put-$loser")"
  winner=$([ "$loser" = ana ] && echo ben || echo ana)
  version=$(jq -r .version "$CLUSTER_DIR/put-$winner")
  wait_for "$CONFIG_S" "round $round: version $version is in force everywhere" \
    in_force_everywhere "$version"
done

say "== a process that starts while the log is down"
version=$(config_version entry-1)
fault log '{"mode":"down"}'
kill_now entry-2
start_entry 2
wait_for 10 "the restarted entry has the newest version" has_config entry-2 "$version"
kill_now agent-1
start_agent 1
wait_for 10 "the restarted agent has the newest version" has_config agent-1 "$version"
fault log '{"mode":"none"}'

say "== no process returns to an older version when all are restarted"
lowest_version() {
  local name low=999999 now
  for name in "${!PID[@]}"; do
    case "$name" in
      entry-* | agent-*)
        now=$(config_version "$name" 2>/dev/null)
        [ -n "$now" ] && [ "$now" -lt "$low" ] && low=$now
        ;;
    esac
  done
  echo "$low"
}
wait_for 10 "both entries are ready" is_ready entry-2
for name in agent-1 entry-1 agent-2 entry-2; do
  kill_now "$name"
  "start_${name%-*}" "${name#*-}"
  wait_for 20 "$name is ready" is_ready "$name"
  wait_for 10 "$name has version $version" has_config "$name" "$version"
  for ((i = 0; i < 5; i++)); do
    check_equal "the lowest version in force" "$version" "$(lowest_version)"
  done
done
