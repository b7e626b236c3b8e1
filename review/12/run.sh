#!/usr/bin/env bash
# Six jobs that repeat are handed in, one every 14 s. Each has a wide step, of which one task takes 4 s. The runner of
# that task is cut off for 6.5 s and runs on, and the task ends meanwhile. After the third, the scheduler that is the
# owner is stopped with SIGTERM and started again. Exit 1: two schedulers have ended by themselves three times each.
# TROUBLE=0: no runner is cut off.
set -uo pipefail
record=$(dirname "$0")/record.txt
source "$(dirname "$0")/../common-3.sh"

# Tasks of the step of each job.
widths=(1000 3000 9000 1000 3000 9000)
own_ends=(0 0 0)

start_store
start_schedulers 2
for i in $(seq 11); do
  start_worker "$i" --labels a --cpu 16000
done
wait_workers 11

# Counts the schedulers that have ended by themselves; the platform starts them again after a second.
restart_ended() {
  local i status
  for i in 1 2; do
    kill -0 "${scheduler_pids[i]}" 2>/dev/null && continue
    wait "${scheduler_pids[i]}" 2>/dev/null
    status=$?
    own_ends[i]=$((own_ends[i] + 1))
    say "scheduler-$i has ended by itself with status $status, $((own_ends[i])) in all"
    sleep 1
    start_scheduler "scheduler-$i" "$net.0.$((40 + i))"
    scheduler_pids[i]=${pids[-1]}
  done
}

# Prints the scheduler that took over last.
newest_owner() {
  grep -H "owner took_over" "$dir"/scheduler-*.log | sed -n 's/.*scheduler-\([12]\)\.log:.*term=\([0-9]*\).*/\2 \1/p' \
    | sort -n | tail -n 1 | cut -d' ' -f2
}

# The operator stops the scheduler that is the owner, and starts it again.
roll_owner() {
  local i
  sleep 1.5
  i=$(newest_owner)
  say "plan roll_term scheduler-$i"
  kill -TERM "${scheduler_pids[i]}"
  wait "${scheduler_pids[i]}" 2>/dev/null
  start_scheduler "scheduler-$i" "$net.0.$((40 + i))"
  scheduler_pids[i]=${pids[-1]}
  say "the owner is scheduler-$(newest_owner)"
}

# submit K: hands in job K, which is due at once and again after 200 s.
submit() {
  job=00000000000000b$1
  for front in 1 2; do
    request POST "$job" "{\"spec\":\"work_ms=50 long_ms=4000\",\"steps\":[{\"count\":${widths[$1]},\"cpu\":10,\"mem_mb\":4,\"estimate_ms\":50}],\"repeat_count\":2,\"start_at_ms\":$(now_ms),\"interval_ms\":200000}"
    [ "$status" != 200 ] || return 0
  done
  cannot "job $1 was not accepted"
}

sleep_until() {
  local left=$(($1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

begin=$(now_ms)
for k in 0 1 2 3 4 5; do
  sleep_until $((begin + k * 14000))
  submit "$k"
  wait_count "start $job.0.0.0 " 1 5000 || cannot "the long task of job $k did not start"
  at=$(grep -l " start $job.0.0.0 " "$dir"/runner-*.out | head -n 1 | sed 's/.*runner-\([0-9]*\)\.out/\1/')
  sleep 1.5
  [ "$TROUBLE" = 0 ] || control "$at" "cut?for_ms=6500"
  say "disruption node_cut of runner $at for 6500 ms, trouble $TROUBLE"
  sleep 8
  restart_ended
  [ "$k" != 2 ] || roll_owner
done
write_record
# The record has all lines of the first task of each job, and how many others ended.
for k in 0 1 2 3 4 5; do
  echo "job 00000000000000b$k: $(grep -c " end 00000000000000b$k\..* done" "$record") runs ended done" >>"$dir/counts"
done
grep " script \|\.0\.0 [0-9]" "$record" >"$dir/short"
cat "$dir/short" "$dir/counts" >"$record"
for i in 1 2; do
  echo "scheduler-$i: ended by itself $((own_ends[i])) times" | tee -a "$record"
done
[ "$((own_ends[1]))" -lt 3 ] || [ "$((own_ends[2]))" -lt 3 ] || exit 1
exit 0
