#!/usr/bin/env bash
# Checks exit codes and messages of the programs' command lines from a table, then runs acaciactl
# and acacia-load against a cluster.
set -uo pipefail
source "$(dirname "$0")/../../scripts/cluster.sh"

cluster_init mezcla
good=$CLUSTER_ROOT/examples/mezcla/document.toml
bad=$CLUSTER_DIR/bad.toml
settings=$CLUSTER_DIR/settings.toml
crash=$CLUSTER_DIR/mark.toml
large=$CLUSTER_DIR/large.toml
node=$CLUSTER_DIR/node.toml
taken=$CLUSTER_DIR/taken.toml
printf '[job.a]\ntasks = 0\n' >"$bad"
printf 'entries = [1]\n' >"$settings"
printf '[job.a]\n\n[!x]\n' >"$crash"
printf 'internal.port = 0\n' >"$node"
head -c 262145 /dev/zero | tr '\0' '#' >"$large"
printf 'name = "x"\nip = "192.0.2.1"\nstore.address = "127.0.0.1:1"\n' >"$taken"
free=$(url_of entry-1)

# expected exit code | program and arguments | text that stdout and stderr together must contain
table="0|acaciactl --help|Exit codes: 0 done
0|acaciactl --version|acaciactl 0.
0|acaciactl --print-example|# entries = [\"http://127.0.0.1:8080\"]
0|acaciactl --check-config|settings are valid
2|acaciactl --config $settings --check-config|settings.toml:1: entries: expected an array of strings
2|acaciactl --config /nowhere jobs|/nowhere
2|acaciactl|expected a command
2|acaciactl --wrong|invalid option
2|acaciactl frobnicate|unknown command 'frobnicate'
2|acaciactl validate|validate: expected FILE
2|acaciactl jobs now|jobs: expected no argument
2|acaciactl submit a b|excess option
0|acaciactl validate $good|valid            true
2|acaciactl validate $bad|bad.toml:2: job.a.tasks: expected an integer from 1 to 1000000
2|acaciactl validate $crash|mark.toml:3: expected a key or a table header
2|acaciactl validate /nowhere|No such file
2|acaciactl --entry $free apply $bad|bad.toml:2: job.a.tasks
1|acaciactl --entry $free jobs|jobs: refused: $free: Could not connect
2|acaciactl --entry ftp://x jobs|entry 'ftp://x': expected http://IP:PORT
2|acaciactl --entry $free --entry ftp://x apply $good|entry 'ftp://x': expected http://IP:PORT
2|acaciactl validate $large|large.toml: expected at most 262144 bytes
2|acaciactl --entry $free apply $large|large.toml: expected at most 262144 bytes
1|acaciactl --json --entry $free jobs|\"kind\": \"refused\"
0|acacia-load --help|Exit codes: 0 done
0|acacia-load --version|acacia-load 0.
0|acacia-load --print-example|# rate_per_s = 50
0|acacia-load --check-config|settings are valid
2|acacia-load --rate 0|rate_per_s: expected an integer from 1 to
2|acacia-load --rate 100000 --seconds 80000|at most 10000000 requests
2|acacia-load --entry nonsense --seconds 1|'nonsense': expected http://IP:PORT
1|acacia-load --entry $free --rate 10 --seconds 1|refused     refused
0|acacia-load --own-cost --rate 100 --seconds 1|sent 8
0|acacia-entry --help|--config
0|acacia-entry --version|acacia-entry
0|acacia-entry --print-example|http.port
2|acacia-entry --config $settings --check-config|settings.toml:1
2|acacia-entry --config /nowhere|/nowhere
0|acacia-agent --help|--config
0|acacia-agent --version|acacia-agent
0|acacia-agent --print-example|endpoint.service
2|acacia-agent --config $settings --check-config|settings.toml:1
2|acacia-agent --config /nowhere|/nowhere
0|acacia-scheduler --help|Exit status: 0 after leaving, 1 on failure, 2 on bad usage or settings.
0|acacia-scheduler --version|acacia-scheduler 0.
0|acacia-scheduler --print-example|store.address
2|acacia-scheduler --config $settings --check-config|settings.toml:1: entries: unknown key
2|acacia-scheduler --config /nowhere|/nowhere
2|acacia-scheduler --config $node --check-config|node.toml:1: internal.port: value 0 is outside 1 to 65535
1|acacia-scheduler --config $taken|acacia-scheduler: cannot listen on 192.0.2.1:7721
0|acacia-worker --help|Exit status: 0 after leaving, 1 on failure, 2 on bad usage or settings.
0|acacia-worker --version|acacia-worker 0.
0|acacia-worker --print-example|store.address
2|acacia-worker --config $settings --check-config|settings.toml:1: entries: unknown key
2|acacia-worker --config /nowhere|/nowhere"

while IFS='|' read -r code line expected; do
  # shellcheck disable=SC2086
  set -- $line
  program=$1
  shift
  output=$("$BIN/$program" "$@" 2>&1)
  check_equal "$line: exit code" "$code" "$?"
  check "$line: says '$expected'" grep -qF -- "$expected" <<<"$output"
done <<<"$table"

say "== against a cluster"
cluster_start 2 2
check "the next entry is tried when the first refuses" \
  "$CTL" --entry http://127.0.0.1:1 --entry "$(url_of entry-2)" status >/dev/null
version=$(ctl --json apply "$good" | jq -r .version)
check "apply gives the version" test "$version" -ge 1
output=$(ctl apply "$good" --base 0 2>&1)
check_equal "an old base: exit code" 1 $?
check "an old base: stale_base" grep -q 'apply: stale_base: ' <<<"$output"
output=$(ctl --json apply "$good" --dry-run)
check_equal "a dry run of the same document changes nothing" 0 "$(jq '.changes | length' <<<"$output")"
sed 's/^tasks = 6/tasks = 7/' "$good" >"$CLUSTER_DIR/next.toml"
check_equal "a dry run names the changed row" "job master-render changed" \
  "$(ctl --json apply "$CLUSTER_DIR/next.toml" --dry-run \
    | jq -r '.changes[] | "\(.section) \(.name) \(.change)"')"
check_equal "and publishes nothing" "$version" "$(config_version entry-1)"
cat "$good" - >"$CLUSTER_DIR/places.toml" <<TOML
[[label]]
instances = "rack = rack-2 and data_centre = $(data_centre_of 2)"
key = "pool"
value = "second"
[[label]]
instances = "rack = nowhere"
key = "pool"
value = "none"
TOML
check_equal "a dry run knows racks and data centres" "rack = nowhere" \
  "$(ctl --json apply "$CLUSTER_DIR/places.toml" --dry-run \
    | jq -r '.matches_nothing[] | select(.where | startswith("label")) | .selector')"
output=$(ctl submit nonsense 2>&1)
check_equal "an unknown job: exit code" 1 $?
check "an unknown job: not_found" grep -q 'submit: not_found: ' <<<"$output"
first=$(ctl --json submit preview-warmup --key k | jq -r .job)
check_equal "the same key gives the same run" "$first" \
  "$(ctl --json submit preview-warmup --key k | jq -r .job)"
check "a table for people" grep -q '^JOB ' <(ctl jobs)
output=$(ctl job nonsense 2>&1)
check_equal "a wrong id: exit code" 1 $?
check "a wrong id: bad_request" grep -q 'job: bad_request: ' <<<"$output"

say "== a preview on a quiet system"
# The median of single calls, each on a new connection, must meet the document's target_p99_us.
for i in 1 2 3 4 5 6 7 8 9; do
  call entry-1 preview -d cut -o /dev/null -w '%{time_total}\n'
done | sort -n | sed -n 5p >"$CLUSTER_DIR/median"
target_s=$(sed -n 's/^target_p99_us = //p' "$good" | awk '{ print $1 / 1000000 }')
check "it takes $(cat "$CLUSTER_DIR/median") s, target $target_s s" \
  awk -v target="$target_s" '{ exit !($1 <= target) }' "$CLUSTER_DIR/median"

say "== acacia-load"
"$BIN/acacia-load" --entry "$(url_of entry-1)" --entry "$(url_of entry-2)" \
  --direct "$(url_of service-1)" --rate 60 --seconds 3 --service "$SERVICE" --json \
  >"$CLUSTER_DIR/load.json" || fail "acacia-load"
check "it measured all classes" jq -e \
  '[.classes.repeatable, .classes.once, .classes.direct] | all(.answered > 0 and .mismatched == 0)' \
  "$CLUSTER_DIR/load.json"
check "it gives quantiles and the path's cost" jq -e \
  '.classes.once.latency_us["p99.9"] > 0 and .path_cost_p50_us.repeatable != null' \
  "$CLUSTER_DIR/load.json"
