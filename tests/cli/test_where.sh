#!/usr/bin/env bash
# acaciactl where against two entries, an agent and a worker: exit codes, the redirect to the owner, one query at a
# time. Guards against a query that submits a job, starts a task or is counted as a request.
set -euo pipefail
source "$(dirname "$0")/../fault/users.sh"

first=$net.0.11:29121
second=$net.0.12:29121
small='{"spec":"x","steps":[{"count":2,"cpu":1000,"estimate_ms":60000},{"count":1,"cpu":1,"after":[0]}]}'
echo "$small" >"$dir/small.json"
echo '{"spec":"x","steps":[{"count":1,"cpu":12000,"estimate_ms":60000}]}' >"$dir/large.json"
echo '{"spec":"x","steps":[{"count":1,"cpu":1000,"required_label":"nowhere"}]}' >"$dir/never.json"
echo '{"spec":"x","steps":[]}' >"$dir/malformed.json"
head -c 262145 /dev/zero >"$dir/bytes.json"

# where CODE TEXT ARGUMENT...: the command must exit with CODE, and print TEXT.
where() {
  local expected=$1 text=$2 code=0
  shift 2
  "$BUILD/bin/acaciactl" where "$@" >"$dir/where.out" 2>&1 || code=$?
  [ "$code" = "$expected" ] || fail "where $*: exit code $code instead of $expected: $(cat "$dir/where.out")"
  grep -qF -- "$text" "$dir/where.out" || fail "where $*: no '$text' in: $(cat "$dir/where.out")"
}

# counts: the counters that requests and jobs change, of both entries.
counts() {
  for entry in "$first" "$second"; do
    curl -sf "http://$entry/metrics" |
      grep -E '^acacia_(accepted|repeated|cancelled|cancels_held|in_doubt|refused|connections_refused)' || true
  done
}

where 2 "expected FILE"
where 2 "No such file" "$dir/nothing.json" --entry "$first"
where 2 "expected http://IP:PORT" "$dir/small.json" --entry ftp://x
where 2 "expected text or json" "$dir/small.json" --entry "$first" --output xml
where 2 "262144" "$dir/bytes.json" --entry "$first"
where 3 "Could not connect" "$dir/small.json" --entry "$first"

start_entry first $net.0.11
owner=${pids[-1]}
wait_line "$dir/first.log" "node started" 8000 || fail "the first entry did not start"
where 3 "no owner is known" "$dir/small.json" --entry "$first"

start_store 2
store_pid=${pids[-1]}
wait_line "$dir/first.log" "owner took_over" 15000 || fail "the first entry never became the owner"
start_entry second $net.0.12
wait_line "$dir/second.log" "config applied" 8000 || fail "the second entry has no configuration"
where 4 "can never start" "$dir/small.json" --entry "$first"
start_agent agent $net.0.13 $net.0.16:29165
"$BUILD/bin/standin-runner" $net.0.16:29165 $net.0.13:29166 60000 16000 >"$dir/runner.out" 2>"$dir/runner.log" &
pids+=($!)
# Nothing starts at the worker before the owner has written that its agent reports.
for _ in $(seq 200); do
  "$BUILD/bin/acaciactl" where "$dir/small.json" --entry "$first" >"$dir/where.out" 2>&1 && break
  sleep 0.05
done

counts >"$dir/before.txt"
for entry in "$first" "http://$second"; do
  where 0 "would start now" "$dir/small.json" --entry "$entry" --queue r
  where 0 "owner first" "$dir/small.json" --entry $net.0.17:29121 --entry "$entry"
  where 0 '"verdict": "now"' "$dir/small.json" --entry "$entry" --output json
  where 0 " chosen" "$dir/small.json" --entry "$entry" --all
  where 4 "no_label 1" "$dir/never.json" --entry "$entry"
  where 2 "no such queue" "$dir/small.json" --entry "$entry" --queue none
  where 2 "steps" "$dir/malformed.json" --entry "$entry"
done
term=$(jq .term < <("$BUILD/bin/acaciactl" where "$dir/small.json" --entry "$second" --output json))
grep -q "owner took_over term=$term " "$dir/first.log" || fail "the answer gives the term $term"
status=$(curl -s -o "$dir/body" -w '%{http_code} %{redirect_url}' --data "$small" "http://$second/where?queue=r")
[ "$status" = "307 http://$first/where?queue=r" ] || fail "the second entry answers $status"
status=$(head -c 262145 /dev/zero | curl -s -o /dev/null -w '%{http_code}' --data-binary @- "http://$first/where")
[ "$status" = 413 ] || fail "a body of 262,145 bytes is answered with $status"

# Queries that arrive together: one is answered, the others are told to come back.
kill -STOP "$owner"
for i in 1 2 3 4 5; do
  curl -s -m 5 -o /dev/null -w '%{http_code}\n' --data "$small" "http://$first/where" >"$dir/status-$i.txt" &
  calls[i]=$!
done
sleep 0.5
kill -CONT "$owner"
wait "${calls[@]}"
answers=$(sort "$dir"/status-*.txt | uniq -c | tr -s ' \n' ' ')
echo "five queries at once:$answers"
[ "$(grep -l 200 "$dir"/status-*.txt | wc -l)" -ge 1 ] || fail "no query was answered"
[ "$(grep -l 429 "$dir"/status-*.txt | wc -l)" -ge 1 ] || fail "several queries were answered at a time"

grep -v connections_refused "$dir/before.txt" >"$dir/expected.txt" || true
counts | grep -v connections_refused >"$dir/after.txt" || true
diff "$dir/expected.txt" "$dir/after.txt" || fail "queries are counted as requests"
! grep -q "sched start\|front \|outbox " "$dir/first.log" "$dir/second.log" || fail "a query was taken for a job"
[ ! -s "$dir/runner.out" ] || fail "a task was started"

# What is answered is what happens: a job that would start does, and then a large one would wait.
id=00000000000000e1
status=$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: h.example' --data "@$dir/large.json" "http://$net.0.11:29161/p/$id")
[ "$status" = 200 ] || fail "the job was answered with $status"
wait_line "$dir/runner.out" "^start $id" 8000 || fail "the job did not start"
where 1 "waits for: processors" "$dir/large.json" --entry "$second"
where 1 "after these ends:" "$dir/large.json" --entry "$second"
where 1 "$id.0.0.0 in" "$dir/large.json" --entry "$second"
cat "$dir/where.out"

# An owner that the store does not answer may have been replaced, and must not answer as the owner.
kill -STOP "$store_pid"
for _ in $(seq 100); do
  code=0
  "$BUILD/bin/acaciactl" where "$dir/small.json" --entry "$first" >"$dir/where.out" 2>&1 || code=$?
  [ "$code" != 3 ] || break
  sleep 0.1
done
kill -CONT "$store_pid"
[ "$code" = 3 ] || fail "without the store the exit code is $code: $(cat "$dir/where.out")"
grep -q "no owner is known" "$dir/where.out" || fail "without the store: $(cat "$dir/where.out")"
