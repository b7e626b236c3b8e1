#!/usr/bin/env bash
# The store does not answer while more than 500 tasks of each runner end; see claim.txt. With TROUBLE=0
# it answers.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
source "$case_dir/../common.sh"

n_tasks=8000
store_down_s=4

start_deployment 4 11
sleep 4
store_pid=${pids[0]}
id=$(new_id)
answer=$(ask 1 POST "/lohu930/$id" "{\"spec\":\"work_ms=4000\",\"steps\":[{\"count\":$n_tasks,\"cpu\":10,\"mem_mb\":8,\"estimate_ms\":4000}]}")
[[ $answer == 200* ]] || finish 2 "the job is not accepted"
# All tasks have started by now, and none has ended.
sleep 2.5
if [ "${TROUBLE:-1}" != 0 ]; then
  kill -STOP "$store_pid"
  note "the store is silent"
  sleep "$store_down_s"
  kill -CONT "$store_pid"
  note "the store answers"
else
  sleep "$store_down_s"
fi
sleep 15
ask 2 GET "/lohu930/$id" >/dev/null
keep_logs

# Starts after an end `done` of the task that was taken note of, then or later.
twice=$(awk '
  $2 == "seen" && /how=done/ { noted[$4] = 1 }
  $2 == "end" && /how=done/ { done[$4] = 1 }
  $2 == "start" && done[$4] { again[$4] = 1 }
  END { for (task in again) n += noted[task]; print n + 0 }' "$record")
most=$(awk '$2 == "end" && /how=done/ { n[$3]++ } END { for (i in n) if (n[i] > most) most = n[i]; print most + 0 }' "$record")
text="$twice of $n_tasks tasks were started again after a run had ended done and was taken note of; at most $most ends done at one runner"
[ "$twice" -eq 0 ] || finish 1 "TWICE broken: $text"
finish 0 "TWICE held: $text"
