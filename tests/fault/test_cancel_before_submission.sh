#!/usr/bin/env bash
# A submission waits in an entry that is paused; its caller leaves and cancels at another entry, which does not
# know the job. Guards against a job that starts after its cancel was acknowledged, also if the owner is killed.
set -euo pipefail
source "$(dirname "$0")/users.sh"

call() { curl -s -m "${wait_s:-3}" -o "$dir/body" -w '%{http_code}' -H 'Host: h.example' "$@" || true; }

start_store 2
start_entry first $net.0.11
first=${pids[-1]}
wait_line "$dir/first.log" "owner took_over" 8000 || fail "the first entry never became the owner"
for name in second third; do
  start_entry "$name" "$net.0.1$([ "$name" = second ] && echo 2 || echo 4)"
  wait_line "$dir/$name.log" "config applied" 8000 || fail "the $name entry has no configuration"
done
second=${pids[-2]}
start_agent agent $net.0.13 $net.0.16:29165
"$BUILD/bin/standin-runner" $net.0.16:29165 $net.0.13:29166 200 >"$dir/runner.out" 2>"$dir/runner.log" &
pids+=($!)
wait_line "$dir/first.log" "sched worker_found" 8000 || fail "the owner does not know the worker"

for round in 1 2; do
  id=00000000000000d$round
  kill -STOP "$second"
  wait_s=0.25 call "http://$net.0.12:29161/p/$id" \
    --data '{"spec":"x","steps":[{"count":4,"cpu":1000,"estimate_ms":200},{"count":4,"cpu":1000,"estimate_ms":200,"after":[0]}]}' >/dev/null
  status=$(call -X DELETE "http://$net.0.14:29161/p/$id")
  [ "$status" = 410 ] || fail "round $round: the cancel was answered with $status"
  [ "$round" = 1 ] || kill -KILL "$first"
  kill -CONT "$second"
  wait_line "$dir/second.log" "accepted job=$id" 3000 || fail "round $round: the paused entry did not accept the job"
  sleep 6
  ! grep -q "^start $id" "$dir/runner.out" || fail "round $round: a task started after the cancel"
  call "http://$net.0.14:29161/p/$id" >/dev/null
  grep -q cancelled "$dir/body" || fail "round $round: the job is $(cat "$dir/body")"
done
echo "2 of 2 cancelled jobs did not start"

# A flood of cancels of unknown jobs is held up to a limit, beyond which they are refused; other calls go on.
limit=10000
more=200
curl -s -Z --parallel-max 20 -X DELETE -H 'Host: h.example' -w '%{http_code}\n' -o /dev/null \
  "http://$net.0.14:29161/p/00000000001[00000-$(printf %05d $((limit + more - 1)))]" >"$dir/flood.txt" 2>/dev/null || true
held=$(grep -c 410 "$dir/flood.txt" || true)
refused=$(grep -c 503 "$dir/flood.txt" || true)
echo "flood: $held held, $refused refused"
[ "$held" -ge $((limit - 2)) ] && [ "$held" -lt $((limit + more)) ] || fail "$held cancels of unknown jobs were held"
[ "$refused" -gt 0 ] || fail "no cancel beyond the limit was refused"
status=$(call "http://$net.0.14:29161/p/00000000000000d3" --data '{"spec":"x","steps":[{"count":1,"cpu":1000,"estimate_ms":200}]}')
[ "$status" = 200 ] || fail "a job beside held cancels was answered with $status"
status=$(call -X DELETE "http://$net.0.14:29161/p/00000000000000d3")
[ "$status" = 200 ] || fail "the cancel of a known job beside held cancels was answered with $status"
